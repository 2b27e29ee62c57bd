#include "routing/Pickers.h"

#include <absl/container/inlined_vector.h>
#include <algorithm>
#include <limits>

namespace crocusmount {

namespace {

    /// Derives the next pseudorandom number, so that one random number per request suffices for all choices on a path.
    std::uint64_t mix(std::uint64_t value)
    {
        value ^= value >> 33;
        value *= 0xff51afd7ed558ccdULL;
        value ^= value >> 33;
        value *= 0xc4ceb9fe1a85ec53ULL;
        return value ^ (value >> 33);
    }

    constexpr double NoPathCost = std::numeric_limits<double>::infinity();
    constexpr double AvoidedStageCost = 100; ///< far above usual costs, so that avoided stages are a last resort
    constexpr double RecentPickDecay = 0.95; ///< factor applied to all counts at each pick
    constexpr double RecentPickWeight = 1; ///< streams that one recent pick counts as

    /// The cheapest path from each layer to the end of the model, indexed by layer.
    struct CostTable {
        std::vector<double> cost; ///< of the whole path; infinite if there is none
        std::vector<const Stage*> next; ///< first stage of the path; null if there is none
    };

    /// Computes the cheapest paths from the last layer backward.
    /// @param costOf  returns the cost of a stage, above 0
    template <typename CostOf>
    CostTable cheapestPaths(const RouteQuery& query, CostOf&& costOf)
    {
        std::vector<const Stage*> byBegin;
        byBegin.reserve(query.stages.size());
        for (const Stage& stage : query.stages) {
            if (stage.hop.layers.size() && stage.hop.layers.end <= query.layerCount)
                byBegin.push_back(&stage);
        }
        std::sort(byBegin.begin(), byBegin.end(), [](const Stage* a, const Stage* b) {
            return std::tie(b->hop.layers.begin, a->index) < std::tie(a->hop.layers.begin, b->index);
        });
        CostTable table { std::vector<double>(query.layerCount + 1, NoPathCost),
            std::vector<const Stage*>(query.layerCount + 1, nullptr) };
        table.cost[query.layerCount] = 0;
        for (const Stage* stage : byBegin) {
            const double cost = table.cost[stage->hop.layers.end] + costOf(*stage);
            if (cost < table.cost[stage->hop.layers.begin]) {
                table.cost[stage->hop.layers.begin] = cost;
                table.next[stage->hop.layers.begin] = stage;
            }
        }
        return table;
    }

} // namespace

bool ChainPicker::coversModel(const RouteQuery& query)
{
    return cheapestPaths(query, [](const Stage&) { return 1.0; }).cost[0] < NoPathCost;
}

ChainPicker::Path WalkPicker::onPick(const RouteQuery& query)
{
    const CostTable table
        = cheapestPaths(query, [](const Stage& stage) { return stage.avoid ? AvoidedStageCost : 1.0; });
    if (table.cost[0] == NoPathCost)
        return {};
    Path path;
    std::uint64_t entropy = query.entropy;
    for (std::uint32_t layer = 0; layer < query.layerCount; layer = path.back()->hop.layers.end) {
        Path candidates;
        for (const Stage& stage : query.stages) {
            if (stage.hop.layers.begin == layer && stage.hop.layers.end <= query.layerCount
                && table.cost[stage.hop.layers.end] < NoPathCost && !stage.avoid)
                candidates.push_back(&stage);
        }
        if (candidates.empty())
            candidates.push_back(table.next[layer]);
        entropy = mix(entropy + 1);
        path.push_back(onChoose(candidates, entropy));
    }
    return path;
}

const Stage* RandomPicker::onChoose(const Path& candidates, std::uint64_t entropy)
{
    return candidates[entropy % candidates.size()];
}

const Stage* RoundRobinPicker::onChoose(const Path& candidates, std::uint64_t)
{
    return candidates[m_nextByLayer[candidates.front()->hop.layers.begin]++ % candidates.size()];
}

namespace {

    double reportedUtilization(const Stage* stage) { return stage->reportedStreams / stage->streamLimit; }

    bool hasLowerReport(const Stage* a, const Stage* b) { return reportedUtilization(a) < reportedUtilization(b); }

} // namespace

const Stage* LeastReportedPicker::onChoose(const Path& candidates, std::uint64_t)
{
    return *std::min_element(candidates.begin(), candidates.end(), hasLowerReport);
}

const Stage* PowerOfTwoPicker::onChoose(const Path& candidates, std::uint64_t entropy)
{
    const Stage* first = candidates[entropy % candidates.size()];
    const Stage* second = candidates[mix(entropy) % candidates.size()];
    return std::min(first, second, hasLowerReport);
}

double FlowPicker::recentPicksOf(const Stage& stage) const
{
    return stage.index < m_recentPicks.size() ? m_recentPicks[stage.index] : 0;
}

void FlowPicker::recordPick(const Path& path)
{
    for (double& picks : m_recentPicks)
        picks *= RecentPickDecay;
    for (const Stage* stage : path) {
        if (m_recentPicks.size() <= stage->index)
            m_recentPicks.resize(stage->index + 1);
        m_recentPicks[stage->index] += 1;
    }
}

ChainPicker::Path FlowPicker::onPick(const RouteQuery& query)
{
    std::uint64_t entropy = query.entropy;
    const CostTable table = cheapestPaths(query, [&](const Stage& stage) {
        entropy = mix(entropy + 1);
        const double jitter = query.jitter * static_cast<double>(entropy >> 11) / static_cast<double>(1ULL << 53);
        const double utilization = (stage.streams + 1 + recentPicksOf(stage) * RecentPickWeight) / stage.streamLimit;
        const double layerFraction = static_cast<double>(stage.hop.layers.size()) / query.layerCount;
        return layerFraction * (utilization / std::max(stage.weight, 0.01) + jitter)
            + (stage.avoid ? AvoidedStageCost : 0);
    });
    Path path;
    for (std::uint32_t layer = 0; layer < query.layerCount; layer = path.back()->hop.layers.end) {
        if (!table.next[layer])
            return {};
        path.push_back(table.next[layer]);
    }
    recordPick(path);
    return path;
}

} // namespace crocusmount
