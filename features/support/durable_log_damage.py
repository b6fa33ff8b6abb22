"""Damage to a durable log's files, as crashes and faulty disks cause it."""

from __future__ import annotations

import random

from features.support.durable_log_world import FOLDER, IDENTITY, entry
from limedyke.messages.agreement import ControllerIdentity
from limedyke.storage.frame import FRAME_MARKER, encode_frame
from limedyke.storage.leader_contact import LEADER_CONTACT_NAME, LeaderContact
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.simulated_disk import SimulatedDisk

SMALL_SEGMENT_BYTES = 300


def add_entries(log, count):
    """Append entries one by one."""
    for _ in range(count):
        log.append((entry(log.last_index + 1),)).unwrap()


def segment_paths(disk):
    """Return the log's segments, the oldest first."""
    names = [name for name in disk.names(FOLDER) if name.startswith("segment-")]
    return [FOLDER / name for name in names]


def half_frame():
    """Return what an interrupted write leaves."""
    frame = encode_frame(IDENTITY.incarnation.encode(), 8, b"unfinished batch")
    return frame[: len(frame) // 2]


def append_durably(disk, path, data):
    """Add bytes to a file as if they had been synced."""
    contents = disk._names[path]
    contents.cached += data
    contents.durable += data


def damage_tail(disk, path, damage):
    """Damage the end of a segment.

    :param damage: the damage in the words of the feature
    """
    content = disk.read(path)
    match damage:
        case "nothing":
            pass
        case "half a frame appended":
            append_durably(disk, path, half_frame())
        case "30 zero bytes appended":
            append_durably(disk, path, bytes(30))
        case "30 random bytes appended":
            append_durably(disk, path, random.Random(1).randbytes(30))
        case "its last byte lost":
            disk.cut(path, len(content) - 1)
        case "its last byte changed":
            disk.damage(path, len(content) - 1)
        case "its last frame's marker lost":
            disk.damage(path, content.rindex(FRAME_MARKER))
        case _:
            raise AssertionError(damage)


def damage_middle(disk, path):
    """Change a byte of the second frame; the frames before and after it stay valid."""
    second = disk.read(path).index(FRAME_MARKER, 1)
    disk.damage(path, second + 25)


def replace_by_other_log(disk, path):
    """Replace a segment by one of the same name from a log of another incarnation."""
    other = SimulatedDisk(random.Random(1))
    identity = ControllerIdentity(IDENTITY.name, "earlier")
    log = open_durable_log(FOLDER, identity, other, segment_bytes=SMALL_SEGMENT_BYTES).unwrap()
    while path not in other._names:
        add_entries(log, 1)
    disk._names[path] = other._names[path]


def damage_log(disk, damage):
    """Kill the process and damage a log of three segments and a snapshot.

    :param damage: the damage in the words of the feature
    :returns: the log's files by their names in the feature
    """
    disk.kill_process()
    oldest, second, newest = segment_paths(disk)
    files = {"oldest": oldest, "second": second, "newest": newest}
    files |= {name: FOLDER / name for name in ("snapshot", "manifest")}
    match damage:
        case "a byte in the newest segment's middle":
            damage_middle(disk, newest)
        case "a byte in the oldest segment's middle":
            damage_middle(disk, oldest)
        case "the oldest segment's end lost":
            disk.cut(oldest, len(disk.read(oldest)) - 1)
        case "the newest segment's header":
            disk.damage(newest, 2)
        case "a segment in the middle lost":
            disk.remove(second)
        case "the newest segment of another log":
            replace_by_other_log(disk, newest)
        case "a byte of the snapshot":
            disk.damage(FOLDER / "snapshot", 25)
        case "the snapshot lost":
            disk.remove(FOLDER / "snapshot")
        case "a byte of the manifest":
            disk.damage(FOLDER / "manifest", 25)
        case "the manifest lost":
            disk.remove(FOLDER / "manifest")
        case _:
            raise AssertionError(damage)
    return files


def saved_contact(time, identity=IDENTITY):
    """Return a leader-contact file written on a disk that did not lose power."""
    disk = SimulatedDisk(random.Random(1))
    LeaderContact(FOLDER, disk, identity).save(time)
    return disk._names[FOLDER / LEADER_CONTACT_NAME]


def change_note(log, disk, time, event):
    """Change the saved leader contact, or end the process, as the feature says.

    :param disk: the simulated disk; None for a folder of the operating system
    :param time: the saved time in seconds
    :param event: the event in the words of the feature
    """
    path = FOLDER / LEADER_CONTACT_NAME
    match event:
        case "the process restarts" | "another was heard at 13.5":
            if event != "the process restarts":
                log.save_leader_contact(13.5).unwrap()
            disk.kill_process()
        case "the process ends":
            log.close()
        case "the power is lost":
            disk.crash()
            # Even if the whole file survives the power loss, it must be ignored.
            disk._names[path] = saved_contact(time)
        case "a byte of the note is changed":
            disk.kill_process()
            disk.damage(path, 20)
        case "the note is cut":
            disk.kill_process()
            disk.cut(path, 20)
        case "the note is lost":
            disk.kill_process()
            disk.remove(path)
        case "the folder is another incarnation's":
            disk.kill_process()
            disk._names[path] = saved_contact(time, ControllerIdentity("a", "other"))
        case "the system does not say since when it ran":
            disk.kill_process()
            disk.life = lambda: ""
            LeaderContact(FOLDER, disk, IDENTITY).save(time)
        case _:
            raise AssertionError(event)
