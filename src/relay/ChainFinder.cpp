#include "relay/ChainFinder.h"

#include <algorithm>
#include <limits>

namespace crocusmount::relay {

namespace {

    constexpr double Unreached = std::numeric_limits<double>::infinity();

    /// The cheapest known partial chain that ends at one layer boundary with its last stage in one data centre.
    struct Label {
        double cost = Unreached;
        const ChainCandidate* lastStage = nullptr;
        std::uint32_t lastStageBegin = 0; ///< layer boundary at which the last stage begins
        std::uint32_t previousDataCentre = 0; ///< of the stage before the last one, or startDataCentre
    };

    /// Shortest path search over pairs of a layer boundary and the data centre of the last stage. Every stage ends at a
    /// higher boundary than it begins, so one pass over the boundaries in ascending order finds all minimum costs.
    class Search {
    public:
        Search(std::uint32_t layerCount, const std::vector<ChainCandidate>& candidates, std::uint32_t startDataCentre,
            std::uint32_t start, const ChainCosts& costs, bool allowsPartialStages)
            : m_layerCount(layerCount)
            , m_candidates(candidates)
            , m_startDataCentre(startDataCentre)
            , m_start(start)
            , m_costs(costs)
            , m_allowsPartialStages(allowsPartialStages)
        {
            m_dataCentres = startDataCentre + 1;
            for (const ChainCandidate& each : candidates)
                m_dataCentres = std::max(m_dataCentres, each.dataCentre + 1);
            m_labels.resize(static_cast<std::size_t>(layerCount + 1) * m_dataCentres);
            m_isBoundary.resize(layerCount + 1);
            for (const ChainCandidate& each : candidates) {
                if (each.layers.end > layerCount)
                    continue;
                m_isBoundary[each.layers.begin] = true;
                m_isBoundary[each.layers.end] = true;
            }
        }

        std::vector<Hop> run()
        {
            extendFrom(m_start, m_startDataCentre, 0, m_start == 0);
            for (std::uint32_t boundary = m_start + 1; boundary < m_layerCount; ++boundary) {
                if (!m_isBoundary[boundary])
                    continue;
                for (std::uint32_t dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
                    if (label(boundary, dataCentre).lastStage)
                        extendFrom(boundary, dataCentre, label(boundary, dataCentre).cost, false);
                }
            }
            return reconstructHops();
        }

    private:
        Label& label(std::uint32_t boundary, std::uint32_t dataCentre)
        {
            return m_labels[static_cast<std::size_t>(boundary) * m_dataCentres + dataCentre];
        }

        /// Appends each possible next stage to the cheapest partial chain that ends at a boundary.
        /// @param cost  of that partial chain, in ms per event
        void extendFrom(std::uint32_t boundary, std::uint32_t dataCentre, double cost, bool isFirstStage)
        {
            const double crossing = isFirstStage ? m_costs.entryCrossingMs : m_costs.crossingMs;
            for (const ChainCandidate& next : m_candidates) {
                if (next.layers.begin > boundary || next.layers.end <= boundary || next.layers.end > m_layerCount)
                    continue;
                const double costBeforeLayers = cost + m_costs.hopMs + next.penaltyMs
                    + (isFirstStage ? next.entryPenaltyMs : 0) + (next.dataCentre == dataCentre ? 0 : crossing);
                for (std::uint32_t end = m_allowsPartialStages ? boundary + 1 : next.layers.end; end <= next.layers.end;
                     ++end) {
                    if (!m_isBoundary[end])
                        continue;
                    Label& reached = label(end, next.dataCentre);
                    const double total = costBeforeLayers + (end - boundary) * next.msPerLayer;
                    if (total < reached.cost)
                        reached = { total, &next, boundary, dataCentre };
                }
            }
        }

        /// @return the stages of the cheapest chain, or nothing if no chain reaches the last layer
        std::vector<Hop> reconstructHops()
        {
            std::uint32_t dataCentre = 0;
            for (std::uint32_t each = 1; each < m_dataCentres; ++each) {
                if (label(m_layerCount, each).cost < label(m_layerCount, dataCentre).cost)
                    dataCentre = each;
            }
            std::vector<Hop> hops;
            std::uint32_t boundary = m_layerCount;
            while (boundary > m_start) {
                const Label& reached = label(boundary, dataCentre);
                if (!reached.lastStage)
                    return {};
                hops.push_back({ reached.lastStage->backend, reached.lastStage->address,
                    { reached.lastStageBegin, boundary }, Generation() });
                dataCentre = reached.previousDataCentre;
                boundary = reached.lastStageBegin;
            }
            std::reverse(hops.begin(), hops.end());
            return hops;
        }

        std::uint32_t m_layerCount;
        const std::vector<ChainCandidate>& m_candidates;
        std::uint32_t m_startDataCentre;
        std::uint32_t m_start; ///< layer boundary at which the search begins: zero, or the end of a given first stage
        const ChainCosts& m_costs;
        bool m_allowsPartialStages; ///< whether a stage may end before the last layer that its engine holds
        std::uint32_t m_dataCentres = 1;
        std::vector<Label> m_labels; ///< by boundary and data centre
        std::vector<bool> m_isBoundary; ///< by layer: whether the range of a candidate begins or ends there
    };

    bool usesEngineTwice(const std::vector<Hop>& hops)
    {
        for (std::size_t i = 0; i < hops.size(); ++i) {
            for (std::size_t j = i + 1; j < hops.size(); ++j) {
                if (hops[i].backend == hops[j].backend)
                    return true;
            }
        }
        return false;
    }

} // namespace

std::optional<Chain> ChainFinder::find(std::uint32_t layerCount, const std::vector<ChainCandidate>& candidates,
    std::uint32_t startDataCentre, const Hop* first, const ChainCosts& costs)
{
    const std::uint32_t start = first ? first->layers.end : 0;
    const auto search = [&](bool allowsPartialStages) {
        std::vector<Hop> hops
            = Search(layerCount, candidates, startDataCentre, start, costs, allowsPartialStages).run();
        if (first)
            hops.insert(hops.begin(), *first);
        return hops;
    };
    std::vector<Hop> hops = search(true);
    // An engine accepts a request only once. A chain whose stages always run to the last layer that their engines hold
    // cannot use an engine twice.
    if (usesEngineTwice(hops))
        hops = search(false);
    auto chain = Chain::make(layerCount, std::move(hops));
    if (!chain.ok())
        return std::nullopt;
    return *std::move(chain);
}

} // namespace crocusmount::relay
