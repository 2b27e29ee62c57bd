#include "edge/ForwardPlan.h"

#include <algorithm>

namespace crocusmount {

std::vector<ForwardTarget> planForward(const std::vector<ForwardMember>& members, std::size_t fanOut)
{
    std::vector<ForwardTarget> targets;
    const std::size_t rangeCount = std::min(std::max<std::size_t>(1, fanOut), members.size());
    for (std::size_t range = 0; range < rangeCount; ++range) {
        std::size_t next = members.size() * range / rangeCount;
        const std::size_t end = members.size() * (range + 1) / rangeCount;
        // A silent member must not forward: the rest of its range would miss the datagram.
        while (next + 1 < end && members[next].isSilent)
            targets.push_back({ members[next++].address, {} });
        targets.push_back({ members[next].address, next + 1 < end ? members[end - 1].id : std::string() });
    }
    return targets;
}

} // namespace crocusmount
