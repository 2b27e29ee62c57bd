#include "relay/CrashRecord.h"

#include <algorithm>
#include <numeric>

namespace crocusmount::relay {

CrashRecord::End* CrashRecord::find(std::uint64_t server)
{
    const auto found = std::find_if(ends.begin(), ends.end(), [&](const End& each) { return each.server == server; });
    return found == ends.end() ? nullptr : &*found;
}

std::uint32_t CrashRecord::pointsOfAllEnds() const
{
    return std::accumulate(
        ends.begin(), ends.end(), carriedPoints, [](std::uint32_t sum, const End& end) { return sum + end.points; });
}

std::uint32_t CrashRecord::refutedCount() const
{
    return static_cast<std::uint32_t>(
        std::count_if(ends.begin(), ends.end(), [](const End& end) { return end.isRefuted; }));
}

bool CrashRecord::add(const End& end)
{
    if (End* known = find(end.server)) {
        const std::size_t workspaceCount = known->workspaces.size();
        const bool isStronger = known->points < end.points;
        known->points = std::max(known->points, end.points);
        const std::size_t contentCount = known->contents.size();
        known->workspaces.insert(end.workspaces.begin(), end.workspaces.end());
        known->contents.insert(end.contents.begin(), end.contents.end());
        known->detectedAt = std::min(known->detectedAt, end.detectedAt);
        // Ages are counted from when a report arrives, so a late one seems to know of a later sign of life.
        known->lastAliveAt = std::min(std::max(known->lastAliveAt, end.lastAliveAt), known->detectedAt);
        return !known->isRefuted
            && (isStronger || known->workspaces.size() > workspaceCount || known->contents.size() > contentCount);
    }
    ends.push_back(end);
    if (ends.size() > MaxServersPerTrait)
        ends.erase(ends.begin());
    return true;
}

} // namespace crocusmount::relay
