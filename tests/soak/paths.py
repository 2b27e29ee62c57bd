"""Cuts of instances from all backend servers, which the links in front of the servers carry out."""

import asyncio
import os
import time

SNAPSHOT_S = 0.025


def sockets_of(pid):
    """Returns the inodes of the sockets that a process has open."""
    inodes = set()
    try:
        for each in os.listdir(f"/proc/{pid}/fd"):
            try:
                target = os.readlink(f"/proc/{pid}/fd/{each}")
            except OSError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
    except OSError:
        pass  # The process has ended.
    return inodes


def ports_of(pid):
    """Returns the local TCP ports of a process."""
    inodes = sockets_of(pid)
    with open("/proc/net/tcp", encoding="ascii") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return {int(row[1].split(":")[1], 16) for row in rows if row[9] in inodes}


class PathCut:
    """Instances that reach no backend server, while callers, the store and the other instances reach them.

    Instances share one source address, so that a connection belongs to the instance whose process owns its port.
    """

    def __init__(self, links):
        self.links, self.instances, self.mode, self.number = links, [], None, 0
        self.ports, self.snapshot_at, self.task = set(), 0, None

    def begin(self, instances, mode):
        self.instances, self.mode, self.number = instances, mode, self.number + 1
        self.take_snapshot()
        self.task = asyncio.create_task(self.take_snapshots())
        for link in self.links():
            link.mode_for = self.mode_for
            if mode == "reset":
                link.reset_peers()

    def end(self):
        self.task.cancel()
        self.instances, self.mode = [], None

    def take_snapshot(self):
        self.snapshot_at = time.monotonic()
        self.ports = set().union(*(ports_of(each.process.pid) for each in self.instances))

    async def take_snapshots(self):
        while True:
            await asyncio.sleep(SNAPSHOT_S)
            self.take_snapshot()

    def mode_for(self, peer):
        """Returns the mode of a connection. One without a snapshot since it was accepted has to wait."""
        if not self.instances:
            return None
        if self.number not in peer.is_cut_off:
            if peer.accepted_at > self.snapshot_at:
                return "silent"
            peer.is_cut_off[self.number] = peer.port in self.ports
        return self.mode if peer.is_cut_off[self.number] else None
