package loadbalancer.membership.core;

/** Notifies the listener of changes, and increments the version of this process's view. */
final class ChangeNotifier {
    private final MembershipActions actions;
    private long version;

    ChangeNotifier(MembershipActions actions) {
        this.actions = actions;
    }

    void notify(MembershipChange.Type type, Member member) {
        version++;
        actions.onChange(new MembershipChange(type, member, version));
    }

    /** Counts a new incarnation of this process, of which the listener is not notified. */
    void onSelfChanged() {
        version++;
    }

    long version() {
        return version;
    }
}
