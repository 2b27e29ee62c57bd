"""Cuts of instances from all backend servers, which the links in front of the servers carry out."""

import os
import socket
import struct

SOCK_DIAG, SOCK_DIAG_BY_FAMILY, REQUEST = 4, 20, 1  # see sock_diag(7)
ANY_STATE, NO_COOKIE = 0xffffffff, b"\xff" * 8
INODE_AT, REPLY_BYTES = 84, 88  # in a netlink message with an inet_diag_msg


class SocketTable:
    """Finds the sockets of this host by their addresses. Reading all of /proc/net/tcp takes as long as it has rows."""

    def __init__(self):
        self.netlink = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, SOCK_DIAG)

    def inode(self, local, remote):
        """Returns the inode of a TCP socket, given as its own and the other (host, port); 0 if there is none."""
        query = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, ANY_STATE)
        query += struct.pack("!HH", local[1], remote[1])
        query += b"".join(socket.inet_aton(host) + bytes(12) for host, _ in (local, remote))
        query += struct.pack("=I", 0) + NO_COOKIE
        self.netlink.send(struct.pack("=IHHII", 16 + len(query), SOCK_DIAG_BY_FAMILY, REQUEST, 1, 0) + query)
        reply = self.netlink.recv(8192)
        return struct.unpack_from("=I", reply, INODE_AT)[0] if len(reply) >= REPLY_BYTES else 0

    def close(self):
        self.netlink.close()


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
                inodes.add(int(target[8:-1]))
    except OSError:
        pass  # The process has ended.
    return inodes


class PathCut:
    """Instances that reach no backend server, while callers, the store and the other instances reach them.

    Instances share one source address, so that a connection belongs to the instance whose process has its socket.
    """

    def __init__(self, links):
        self.links, self.instances, self.mode, self.number = links, [], None, 0
        self.table = SocketTable()

    def begin(self, instances, mode):
        self.instances, self.mode, self.number = instances, mode, self.number + 1
        for link in self.links():
            link.mode_for = self.mode_for
            if mode == "reset":
                link.reset_peers()

    def end(self):
        self.instances, self.mode = [], None

    def mode_for(self, peer):
        """Returns the mode of a connection, or None."""
        if not self.instances:
            return None
        if self.number not in peer.is_cut_off:
            peer.is_cut_off[self.number] = self.belongs_to_cut_off(peer)
        return self.mode if peer.is_cut_off[self.number] else None

    def belongs_to_cut_off(self, peer):
        inode = self.table.inode(peer.address, peer.link_address)
        return any(inode in sockets_of(each.process.pid) for each in self.instances) if inode else False
