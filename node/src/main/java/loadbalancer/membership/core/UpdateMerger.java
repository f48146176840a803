package loadbalancer.membership.core;

/**
 * Merges updates into the member table: a record that supersedes the one held takes its place, is disseminated and
 * notified of. Claims about this process itself are refuted or resolved.
 */
final class UpdateMerger {
    /** Where an update comes from. */
    enum Source {
        /** A message, or this process's own failure detector: it is recent. */
        MESSAGE,
        /** A state sync, which carries all that the peer holds, however old. */
        STATE_SYNC
    }

    private final MembershipSettings settings;
    private final MemberTable table;
    private final LocalMember local;
    private final BroadcastQueue broadcasts;
    private final ChangeNotifier notifier;
    private final PingSender pings;
    private final ProbeOrder probeOrder;
    private final SuspicionTimers suspicions;
    private final TombstoneRetention tombstones;
    private final Refutation refutation;
    private final NameConflictResolver nameConflicts;

    UpdateMerger(
            MembershipSettings settings,
            MemberTable table,
            LocalMember local,
            BroadcastQueue broadcasts,
            ChangeNotifier notifier,
            PingSender pings,
            ProbeOrder probeOrder,
            SuspicionTimers suspicions,
            TombstoneRetention tombstones,
            Refutation refutation,
            NameConflictResolver nameConflicts) {
        this.settings = settings;
        this.table = table;
        this.local = local;
        this.broadcasts = broadcasts;
        this.notifier = notifier;
        this.pings = pings;
        this.probeOrder = probeOrder;
        this.suspicions = suspicions;
        this.tombstones = tombstones;
        this.refutation = refutation;
        this.nameConflicts = nameConflicts;
    }

    void merge(long nowUs, GossipUpdate update, Source source) {
        Member claimed = update.member();
        if (claimed.name().equals(local.self().name())) {
            onClaimAboutSelf(nowUs, claimed);
            return;
        }
        MemberEntry entry = table.get(claimed.name());
        if (entry == null) {
            admit(nowUs, update);
        } else if (!claimed.supersedes(entry.member())) {
            confirmSuspicion(entry, update);
        } else if (source == Source.STATE_SYNC && isDeathOfKnownIncarnation(entry, claimed)) {
            suspectInsteadOfDead(nowUs, entry, update);
        } else {
            replace(nowUs, entry, update);
        }
    }

    private void onClaimAboutSelf(long nowUs, Member claimed) {
        if (claimed.address().equals(local.self().address())) {
            refutation.onClaim(claimed);
        } else {
            nameConflicts.onClaim(nowUs, claimed);
        }
    }

    /** Guards against a flood of names: beyond the bound a live member takes a tombstone's place or is rejected. */
    private void admit(long nowUs, GossipUpdate update) {
        Member claimed = update.member();
        boolean isFull = table.size() + 1 >= settings.maxMembers();
        if (isFull && !(claimed.state().isLive() && tombstones.evictOldest())) {
            notifier.notify(MembershipChange.Type.REJECTED, claimed);
            return;
        }
        MemberEntry entry = table.add(claimed, nowUs);
        onTransition(nowUs, entry, new MemberTransition(null, claimed), update);
    }

    private void replace(long nowUs, MemberEntry entry, GossipUpdate update) {
        MemberTransition transition = new MemberTransition(entry.member(), update.member());
        table.update(entry, update.member(), nowUs);
        onTransition(nowUs, entry, transition, update);
    }

    private void onTransition(long nowUs, MemberEntry entry, MemberTransition transition, GossipUpdate update) {
        broadcasts.add(update);
        if (transition.isJoin()) {
            probeOrder.add(transition.after().name());
        }
        if (transition.isSuspicion()) {
            suspicions.start(nowUs, entry, update.reporter());
        }
        if (transition.isTombstone()) {
            tombstones.onTombstone(nowUs);
        }
        for (MembershipChange.Type type : transition.notifications()) {
            notifier.notify(type, transition.after());
        }
    }

    /** Another member suspects the same incarnation: that shortens the timeout, and others have to learn of it. */
    private void confirmSuspicion(MemberEntry entry, GossipUpdate update) {
        Member claimed = update.member();
        if (entry.suspicion() != null
                && claimed.state() == MemberState.SUSPECT
                && claimed.incarnation().equals(entry.member().incarnation())
                && entry.suspicion().confirm(update.reporter())) {
            broadcasts.add(update);
        }
    }

    private static boolean isDeathOfKnownIncarnation(MemberEntry entry, Member claimed) {
        return claimed.state() == MemberState.DEAD
                && entry.isLive()
                && claimed.incarnation().equals(entry.member().incarnation());
    }

    /**
     * Guards against mass failure after a network partition: the first state sync between the halves brings a death of
     * each member of the other half, all of them wrong. Each such death becomes a suspicion, and its member is pinged
     * at once, so that it can refute in time.
     */
    private void suspectInsteadOfDead(long nowUs, MemberEntry entry, GossipUpdate death) {
        if (entry.member().state() != MemberState.ALIVE) {
            return;
        }
        Member suspect = death.member().withState(MemberState.SUSPECT);
        replace(nowUs, entry, new GossipUpdate(suspect, death.reporter()));
        pings.ping(suspect);
    }
}
