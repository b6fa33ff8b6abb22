"""The replicated log among the controllers: elections, replication, lease and membership.

How a shell drives it:

1. ``open_durable_log(folder, ControllerIdentity(name, fresh_random_incarnation))`` gives the
   log and, by ``log.identity``, the incarnation that counts.
2. While ``log.snapshot_index`` is 0, run :class:`founding.Founding`; it ends with
   ``InstallGenesis`` (pass its snapshot to ``log.install_snapshot``) or ``JoinCluster``.
3. Make an :class:`Agreement` from ``log.take_stored_state()`` and hand it ``Started``.
4. For every event: ``commands = agreement.handle(event, now)``; note ``leader_contact_at`` with
   ``AgreementStorage.save_leader_contact`` when it has changed; then carry out the storage commands
   with ``AgreementStorage.execute(commands)`` and the others in order; hand the event that
   ``execute`` returned back to the core, and so on until there is none.  Messages that vouch
   for a write are emitted only after its ``StorageSynced``.
5. A clock that also counts while the machine sleeps (``CLOCK_BOOTTIME``) must be used, or a
   lease could outlast a suspended machine's sleep.
6. From time to time serialise the applied state and hand in ``SnapshotTaken``.
"""

from limedyke.core.agreement.agreement import Agreement
from limedyke.core.agreement.records import (
    HardState,
    Snapshot,
    StoredState,
    genesis_snapshot,
)
from limedyke.core.agreement.timing import AgreementTiming

__all__ = [
    "Agreement",
    "AgreementTiming",
    "HardState",
    "Snapshot",
    "StoredState",
    "genesis_snapshot",
]
