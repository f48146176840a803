package loadbalancer.membership.core;

/**
 * Merges updates into the member table. An update that supersedes the current record replaces it, is disseminated, and
 * leads to the notifications of {@link MemberTransition}. A death that a state sync reports of a live member in its
 * known incarnation only makes it suspected. Updates about this process's own name go to {@link Refutation} or, if they
 * have another address, to {@link NameConflictResolver}.
 */
final class UpdateMerger {
    /** Origin of an update. */
    enum Source {
        /** A message, or this process's own failure detection: the update is recent. */
        MESSAGE,
        /** A state sync, which carries all records of the peer, however old. */
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

    /**
     * Adds a member with a new name. Guards against a flood of names: when the table is full, a live member replaces
     * the oldest tombstone. It is rejected if there is none, as is any dead or left member.
     */
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

    /** Confirms a suspicion of the same incarnation, and disseminates a confirmation that shortens the timeout. */
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
     * Suspects a member that a state sync reports as dead in its current incarnation, and pings it at once so that it
     * can refute in time. A member that is already suspected stays as it is. Guards against mass failure after a
     * network partition: the first state sync between the two halves reports every member of the other half as dead,
     * wrongly.
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
