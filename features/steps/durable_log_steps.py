"""Steps for the durable log: crashes, damage, full and lost disks."""

from __future__ import annotations

import random
import re
import resource
import shutil
from pathlib import Path

from behave import given, then, when

from features.support.durable_log_damage import (
    SMALL_SEGMENT_BYTES,
    add_entries,
    change_note,
    damage_log,
    damage_tail,
    segment_paths,
)
from features.support.durable_log_world import (
    IDENTITY,
    crash_at_every_step,
    entry,
    open_log,
    patched_without,
)
from limedyke.core.agreement.records import Snapshot
from limedyke.messages.agreement import ControllerIdentity
from limedyke.result_codes import ResultCode
from limedyke.storage.durable_log import DEFAULT_SEGMENT_BYTES
from limedyke.storage.file_system import LocalFileSystem
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.simulated_disk import SimulatedDisk

SEGMENTS_FOR_COMPACTION_BYTES = 16 * 1024


def reopen(context):
    """Open the log as a new process would, on the disk of the scenario."""
    context.log = context.open().unwrap()
    context.stored = context.log.take_stored_state()


@given("durable log: a log of 6 batches on a simulated disk")
def step_six_batches(context):
    context.disk = SimulatedDisk(random.Random(7))
    context.open = lambda: open_log(context.disk, DEFAULT_SEGMENT_BYTES)
    reopen(context)
    add_entries(context.log, 6)


@given("durable log: a log of 3 segments and a snapshot on a simulated disk")
def step_three_segments(context):
    context.disk = SimulatedDisk(random.Random(7))
    context.open = lambda: open_log(context.disk, SMALL_SEGMENT_BYTES)
    reopen(context)
    while len(segment_paths(context.disk)) < 5:
        add_entries(context.log, 1)
    covered = context.log._segments[1].last_index
    context.log.save_snapshot(Snapshot(covered, 1, data=b"first")).unwrap()
    add_entries(context.log, 3)
    assert len(segment_paths(context.disk)) == 3, segment_paths(context.disk)
    context.last_index = context.log.last_index


@given("durable log: a log in a folder of the operating system")
def step_real_folder(context):
    context.disk = None
    context.path = context.folder / "agreement"
    context.identity = IDENTITY
    context.open = lambda: open_durable_log(
        context.path, context.identity, segment_bytes=SEGMENTS_FOR_COMPACTION_BYTES
    )
    reopen(context)
    add_entries(context.log, 6)


@given("durable log: {safeguard} is patched out")
def step_patch_out(context, safeguard):
    patches = patched_without(safeguard)
    patches.__enter__()
    context.add_cleanup(lambda: patches.__exit__(None, None, None))


@when("durable log: the newest segment is damaged by {damage}")
def step_damage_tail(context, damage):
    disk, path = context.disk, segment_paths(context.disk)[-1]
    disk.kill_process()
    damage_tail(disk, path, damage)
    context.damaged = path


@then("durable log: it opens with {count:d} entries")
def step_opens_with(context, count):
    reopen(context)
    assert len(context.stored.entries) == count, context.stored.entries


@then("durable log: the cut tail is {reported}")
def step_cut_reported(context, reported):
    cut = context.log.torn_tail
    if reported == "not reported":
        assert cut is None, cut
        return
    assert cut.file == str(context.damaged), cut
    assert cut.offset > 0 and cut.cut_bytes > 0, cut


@then("durable log: it accepts a further entry and keeps it after a crash")
def step_accepts_further(context):
    add_entries(context.log, 1)
    expected = context.log.last_index
    context.disk.crash()
    reopen(context)
    assert context.log.last_index == expected, (context.log.last_index, expected)
    assert context.log.torn_tail is None, context.log.torn_tail


@when("durable log: the log is damaged by {damage}")
def step_damage_log(context, damage):
    context.files = damage_log(context.disk, damage)


@then("durable log: opening it is refused as corrupt, naming {file} and an offset {offset}")
def step_refused_corrupt(context, file, offset):
    failure = context.open().unwrap_err()
    context.refusal = str(failure)
    assert failure.code is ResultCode.LOG_CORRUPT, failure
    found = re.search(r"file (\S+) offset (\d+): ", failure.detail)
    assert found and Path(found[1]) == context.files[file], (failure, context.files[file])
    assert int(found[2]) > 0 if offset == "> 0" else int(found[2]) == 0, failure


@then("durable log: opening it again gives the same error")
def step_refused_again(context):
    assert str(context.open().unwrap_err()) == context.refusal


@then("durable log: crashes at every disk operation of seeds {first:d} to {last:d} {verdict}")
def step_crash_everywhere(context, first, last, verdict):
    crashes, problem = crash_at_every_step(range(first, last + 1))
    if verdict == "show a violation":
        assert problem, f"{crashes} crashes kept everything"
        return
    assert verdict == "keep acknowledged writes", verdict
    assert not problem, problem
    assert crashes > 500, crashes


@when("durable log: a sync fails and then {history}")
def step_sync_fails(context, history):
    """Set ``context.reported_durable`` to the last index that was acknowledged or read back."""
    disk = context.disk = SimulatedDisk(random.Random(3))
    log = open_log(disk).unwrap()
    log.append((entry(1),)).unwrap()
    disk.fail_syncs(1)
    assert log.append((entry(2),)).is_err()
    context.reported_durable = 1
    match history:
        case "another write is tried":
            if log.append((entry(2, payload=b"second try"),)).is_ok():
                context.reported_durable = 2
        case "the process restarts and goes on":
            disk.kill_process()
            log = open_log(disk).unwrap()
            add_entries(log, 1)
            context.reported_durable = log.last_index
        case _:
            raise AssertionError(history)
    disk.crash()


@then("durable log: all entries reported as durable are {outcome}")
def step_reported_durable(context, outcome):
    opened = open_log(context.disk)
    found = opened.unwrap().last_index if opened.is_ok() else 0
    assert outcome in ("kept", "lost"), outcome
    assert (found >= context.reported_durable) == (outcome == "kept"), (
        found,
        context.reported_durable,
    )


@when("durable log: the disk has space for {room:d} more bytes")
def step_little_space(context, room):
    context.disk.capacity_bytes = context.disk._used_bytes() + room


@then("durable log: an entry of {size:d} bytes is refused as DISK_FULL")
def step_entry_refused(context, size):
    written = context.log.append((entry(context.log.last_index + 1, payload=bytes(size)),))
    assert written.unwrap_err().code is ResultCode.DISK_FULL, written


@then("durable log: saving a larger snapshot is refused as DISK_FULL")
def step_snapshot_refused(context):
    saved = context.log.save_snapshot(Snapshot(context.log.last_index, 1, data=bytes(500)))
    assert saved.unwrap_err().code is ResultCode.DISK_FULL, saved


@when("durable log: the disk has space again and the process restarts")
def step_space_again(context):
    context.disk.capacity_bytes = None
    context.disk.kill_process()


@then("durable log: it still has its first snapshot and all entries")
def step_first_snapshot(context):
    reopen(context)
    assert context.stored.snapshot.data == b"first", context.stored.snapshot
    assert context.log.last_index == context.last_index


@when(
    "durable log: an entry of {size:d} bytes is written while files may grow by {room:d} bytes only"
)
def step_write_with_file_limit(context, size, room):
    """Limit this process's file size only during the write, as it has other files open."""
    largest = max(path.stat().st_size for path in context.path.iterdir())
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    refused_entry = entry(context.log.last_index + 1, payload=bytes(size))
    resource.setrlimit(resource.RLIMIT_FSIZE, (largest + room, limits[1]))
    try:
        context.written = context.log.append((refused_entry,))
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)


@then("durable log: it was refused as DISK_FULL")
def step_was_refused(context):
    assert context.written.unwrap_err().code is ResultCode.DISK_FULL, context.written


@when("durable log: the process restarts")
def step_process_restarts(context):
    context.log.close()


@when("durable log: {count:d} entries are written, with a snapshot every {interval:d}")
def step_write_many(context, count, interval):
    log = context.log
    for _ in range(count // interval):
        first = log.last_index + 1
        log.append(tuple(entry(first + number) for number in range(interval))).unwrap()
        context.snapshot_index = log.last_index - interval // 2
        log.save_snapshot(Snapshot(context.snapshot_index, 1, data=bytes(1000))).unwrap()


@then("durable log: the folder holds less than {size:d} bytes in at most {count:d} segments")
def step_folder_size(context, size, count):
    files = list(context.path.iterdir())
    held = sum(path.stat().st_size for path in files)
    assert held < size, held
    assert len([path for path in files if path.name.startswith("segment-")]) <= count, files


@then("durable log: it opens with the entries after the last snapshot")
def step_after_snapshot(context):
    last_index = context.log.last_index
    context.log.close()
    reopen(context)
    indexes = [found.index for found in context.stored.entries]
    assert indexes == list(range(context.snapshot_index + 1, last_index + 1)), indexes[:3]


@then("durable log: a second process is refused the folder")
def step_locked(context):
    opened = open_durable_log(context.path, IDENTITY, LocalFileSystem())
    assert opened.unwrap_err().code is ResultCode.DISK_FULL, opened


@then("durable log: another controller's name is refused the folder")
def step_other_name(context):
    context.log.close()
    opened = open_durable_log(context.path, ControllerIdentity("b", "b1"))
    assert opened.unwrap_err().code is ResultCode.SETTINGS_INVALID, opened


@then("durable log: its incarnation is the same after a restart")
def step_same_incarnation(context):
    context.identity = ControllerIdentity(IDENTITY.name, "fresh")
    reopen(context)
    assert context.log.identity == IDENTITY, context.log.identity


@when("durable log: the folder is lost")
def step_lose_folder(context):
    context.log.close()
    shutil.rmtree(context.path)


@then("durable log: the log is empty and its incarnation is new")
def step_new_identity(context):
    reopen(context)
    assert context.log.identity == context.identity != IDENTITY, context.log.identity
    assert (context.stored.entries, context.stored.snapshot.index) == ((), 0)


@when("durable log: a leader contact is noted at {time:g}, and {event}")
def step_leader_contact(context, time, event):
    context.log.save_leader_contact(time).unwrap()
    change_note(context.log, context.disk, time, event)


@then("durable log: the next process knows {time}")
def step_leader_known(context, time):
    reopen(context)
    expected = None if time == "nothing" else float(time)
    assert context.stored.leader_contact_at == expected, context.stored.leader_contact_at
