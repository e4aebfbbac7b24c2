"""A control machine loses power while several of its writes are not synced,
and its process never starts again. The next loss costs the configuration."""
import asyncio
import os
import shutil
import struct
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins"))
import fleet as standins  # noqa: E402

CATCH_UP_S = 4
RECOVER_S = 12
CONTACT_S = 3
# LOSS=all: the second loss of power takes all writes that are not synced, as
# it may, too. The rule then holds.
ALL_LOST = os.environ.get("LOSS", "") == "all"
SEGMENT_HEAD = 16
RECORD_HEAD = 13
ENTRY = 2


def segment(core):
    folder = os.path.join(core.data, "group-document")
    names = sorted(name for name in os.listdir(folder)
                   if name.startswith("segment-"))
    return os.path.join(folder, names[-1])


def records(path):
    """Offset, size and type of each record: length, type, checksum, payload,
    as source/process/replication/storage_codec.cc writes them."""
    with open(path, "rb") as file:
        data = file.read()
    found = []
    offset = SEGMENT_HEAD
    while offset + RECORD_HEAD <= len(data):
        length, kind = struct.unpack_from("<IB", data, offset)
        if offset + RECORD_HEAD + length > len(data):
            break
        found.append((offset, RECORD_HEAD + length, kind))
        offset += RECORD_HEAD + length
    return found


def config(version):
    return standins.document(
        version, [standins.route("r%d" % version, "/r%d/" % version, "alpha")],
        ["alpha"])


async def change(fleet, record, version, cores=None, patience=12.0):
    if not await standins.put_config(fleet, config(version),
                                     "version %d" % version, cores, patience):
        raise standins.CannotRun("version %d is not acknowledged" % version)


async def lose_power_while_writing(core, record):
    """The platform: the machine comes back, and loses power as its process
    writes what it has missed. Returns the records that it wrote since."""
    path = segment(core)
    before = records(path)
    core.restart()
    end = time.monotonic() + 10
    while time.monotonic() < end:
        last = records(path)[len(before):]
        if len([each for each in last if each[2] == ENTRY]) >= 2:
            break
        if core.has_ended():
            raise standins.CannotRun("the process has ended by itself")
        time.sleep(0.0002)
        await asyncio.sleep(0)
    core.kill()
    new = [each for each in records(path)[len(before):] if each[2] == ENTRY]
    record(core.name, "loses power again, after", len(new),
           "writes of one batch:", new)
    if len(new) < 2:
        raise standins.CannotRun("no batch of several writes was seen")
    return path, new


def lose_writes(path, new, record):
    """DEPLOY.md: "Each write made after that point is either present, missing
    or torn." The entries of one append request are written one by one and
    synced together (log_store::WriteRecords, log_store::SyncRecords), so none
    of them is covered by a sync yet."""
    with open(path, "r+b") as file:
        if ALL_LOST:
            file.truncate(new[0][0])
            record("all", len(new), "writes are missing")
            return
        file.seek(new[0][0])
        file.write(b"\0" * new[0][1])
        record("the first of", len(new), "writes is missing, the others are",
               "present")


async def keep_running(core, record, seconds):
    """The platform: a process that exits is restarted after a short delay."""
    ends = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if core.has_ended():
            ends += 1
            record("the process of", core.name, "has ended by itself, status",
                   core.process.returncode)
            await asyncio.sleep(0.5)
            core.restart()
        await asyncio.sleep(0.1)
    return ends


async def run(fleet, record):
    await fleet.start(edges=1)
    first, second, third = fleet.cores
    await change(fleet, record, 3)
    await asyncio.sleep(2)
    if standins.TROUBLE:
        record("disruption:", third.name, "loses power for 2 s")
        third.kill()
    others = [first, second] if standins.TROUBLE else None
    for version in (5, 7, 9, 11):
        await change(fleet, record, version, others)
    await asyncio.sleep(2)
    if standins.TROUBLE:
        lose_writes(*await lose_power_while_writing(third, record), record)
        await asyncio.sleep(1)
        record(third.name, "has power again, with its disk")
        third.restart()
    # It counts as lost until CATCH_UP_S after it is back.
    ends = await keep_running(third, record, CATCH_UP_S + 6)
    if await standins.get_config(fleet) != 11:
        record("version 11 is not read while one machine is lost")
    if standins.TROUBLE:
        record("disruption:", second.name, "loses its disk")
        second.kill()
        shutil.rmtree(second.data)
        await asyncio.sleep(1)
        second.restart()
    ends += await keep_running(third, record, RECOVER_S)
    version = await standins.get_config(fleet, patience=2 * CONTACT_S)
    again = await standins.put_config(fleet, config(13), "version 13",
                                      patience=4)
    for core in fleet.cores:
        for line in core.log_lines("damaged")[-1:]:
            record(core.name, "says:", line)
    record("read back:", version, "- newest acknowledged: 11; further change",
           "acknowledged:", "yes" if again else "no",
           "- ends of the process of", third.name + ":", ends)
    return standins.HELD if version == 11 else standins.BROKEN


standins.main(CASE, run)
