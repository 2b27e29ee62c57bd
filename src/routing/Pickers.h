#pragma once

#include "crocusmount/ChainPicker.h"

#include <map>

namespace crocusmount {

/// Builds a path stage by stage from layer 0. A subclass chooses among the stages that begin at the next layer.
class WalkPicker : public ChainPicker {
private:
    Path onPick(const RouteQuery&) final;
    /// @param candidates  at least one stage; from each, some path leads to the last layer
    virtual const Stage* onChoose(const Path& candidates, std::uint64_t entropy) = 0;
};

/// Picks each stage at random with equal probability.
class RandomPicker final : public WalkPicker {
    const Stage* onChoose(const Path& candidates, std::uint64_t entropy) override;
};

/// Picks the stages that begin at a layer in turn.
class RoundRobinPicker final : public WalkPicker {
    const Stage* onChoose(const Path& candidates, std::uint64_t entropy) override;

    std::map<std::uint32_t, std::uint64_t> m_nextByLayer; ///< number of choices made so far, by first layer
};

/// Picks the stage with the least load by its last report, without counting own streams. Reports lag the load.
class LeastReportedPicker final : public WalkPicker {
    const Stage* onChoose(const Path& candidates, std::uint64_t entropy) override;
};

/// Picks two stages at random and takes the one with the lower load by its last report.
class PowerOfTwoPicker final : public WalkPicker {
    const Stage* onChoose(const Path& candidates, std::uint64_t entropy) override;
};

/// Picks the path with the least expected queueing. The cost of a stage is its estimated number of streams, with own
/// ones counted exactly, divided by the number that fills its slots. Where all stages are equally full, this divides
/// the load in proportion to the maximum flow. Recent own picks count as load too, because short streams end before a
/// report shows them (docs/decisions/0004-chain-picking.md).
class FlowPicker final : public ChainPicker {
    Path onPick(const RouteQuery&) override;
    /// Adds the stages of a path to the recent picks.
    void recordPick(const Path&);
    /// @return the decayed number of recent picks of a stage
    double recentPicksOf(const Stage&) const;

    std::vector<double> m_recentPicks; ///< number of own picks by index of the stage, with exponential decay per pick
};

} // namespace crocusmount
