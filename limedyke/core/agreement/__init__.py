"""The replicated log of the controllers: elections, replication, leader lease and membership.

The core does no I/O. A shell drives it as follows:

1. Open the log with ``open_durable_log(folder, ControllerIdentity(name, random_incarnation))``. Use
   ``log.identity`` from then on: a folder that already holds a log keeps its incarnation.
2. While ``log.snapshot_index`` is 0, run :class:`founding.Founding`. It ends with
   ``InstallGenesis`` (pass its snapshot to ``log.install_snapshot``) or ``JoinCluster``.
3. Create an :class:`Agreement` from ``log.take_stored_state()`` and pass it ``Started``.
4. For every event, call ``commands = agreement.handle(event, now)``. If ``leader_contact_at`` has
   changed, store it with ``AgreementStorage.save_leader_contact``. Then run the storage commands
   with ``AgreementStorage.execute(commands)`` and the other commands in order. Pass the event that
   ``execute`` returns to the core, and repeat until it returns None. The core emits a message that
   acknowledges a write only after its ``StorageSynced``.
5. Read ``now`` from a clock that also counts while the machine is suspended (``CLOCK_BOOTTIME``).
   With another clock, a leader could trust its lease after a suspend that outlasted it.
6. Serialise the applied state from time to time and pass it as ``SnapshotTaken``.
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
