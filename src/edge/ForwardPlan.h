#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace crocusmount {

/// A receiver of a datagram, to which it can be sent directly or by forwarding.
struct ForwardMember {
    std::string id;
    std::string address; ///< UDP address and port
    bool isSilent = false; ///< possibly dead; never asked to forward
};

/// The receiver of a datagram that is sent directly, and its forwarding instruction.
struct ForwardTarget {
    std::string address;
    /// The receiver forwards to the members with ids after its own, up to and including this id; empty: no forwarding.
    std::string forwardUntil;
};

/// Splits the members into contiguous ranges. The first responsive member of a range receives the datagram and forwards
/// it to the rest of the range in the same way; silent members before it are sent the datagram directly.
///
/// Forwarding keeps the sender's link from saturating when thousands of backend servers register within seconds and
/// each change has to reach a hundred instances.
///
/// @param members  sorted by id
/// @param fanOut   maximum number of ranges; 0 is treated as 1
/// @return the datagrams to send; without forwarding if `fanOut` is at least the number of members
std::vector<ForwardTarget> planForward(const std::vector<ForwardMember>& members, std::size_t fanOut);

} // namespace crocusmount
