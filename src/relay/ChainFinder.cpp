#include "relay/ChainFinder.h"

#include <algorithm>
#include <limits>

namespace crocusmount::relay {

namespace {

    constexpr double Unreached = std::numeric_limits<double>::infinity();

    /// The cheapest known way to one layer boundary, with the last stage in one data centre.
    struct Label {
        double cost = Unreached;
        const ChainCandidate* by = nullptr; ///< the last stage
        std::uint32_t from = 0; ///< boundary at which that stage begins
        std::uint32_t previousDataCentre = 0;
    };

    /// A shortest path over (layer boundary, data centre of the last stage). Boundaries are taken in ascending order
    /// and each stage moves forward, so one pass settles all labels.
    class Search {
    public:
        Search(std::uint32_t layerCount, const std::vector<ChainCandidate>& candidates, std::uint32_t home,
            std::uint32_t start, const ChainCosts& costs, bool partial)
            : m_layerCount(layerCount)
            , m_candidates(candidates)
            , m_home(home)
            , m_start(start)
            , m_costs(costs)
            , m_partial(partial)
        {
            m_dataCentres = home + 1;
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
            leave(m_start, m_home, 0, m_start == 0);
            for (std::uint32_t boundary = m_start + 1; boundary < m_layerCount; ++boundary) {
                if (!m_isBoundary[boundary])
                    continue;
                for (std::uint32_t dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
                    if (label(boundary, dataCentre).by)
                        leave(boundary, dataCentre, label(boundary, dataCentre).cost, false);
                }
            }
            return trace();
        }

    private:
        Label& label(std::uint32_t boundary, std::uint32_t dataCentre)
        {
            return m_labels[static_cast<std::size_t>(boundary) * m_dataCentres + dataCentre];
        }

        void leave(std::uint32_t boundary, std::uint32_t dataCentre, double cost, bool first)
        {
            const double crossing = first ? m_costs.entryCrossingMs : m_costs.crossingMs;
            for (const ChainCandidate& next : m_candidates) {
                if (next.layers.begin > boundary || next.layers.end <= boundary || next.layers.end > m_layerCount)
                    continue;
                const double entered = cost + m_costs.hopMs + next.penaltyMs + (first ? next.entryPenaltyMs : 0)
                    + (next.dataCentre == dataCentre ? 0 : crossing);
                for (std::uint32_t end = m_partial ? boundary + 1 : next.layers.end; end <= next.layers.end; ++end) {
                    if (!m_isBoundary[end])
                        continue;
                    Label& reached = label(end, next.dataCentre);
                    const double total = entered + (end - boundary) * next.msPerLayer;
                    if (total < reached.cost)
                        reached = { total, &next, boundary, dataCentre };
                }
            }
        }

        std::vector<Hop> trace()
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
                if (!reached.by)
                    return {};
                hops.push_back({ reached.by->backend, reached.by->address, { reached.from, boundary }, Generation() });
                dataCentre = reached.previousDataCentre;
                boundary = reached.from;
            }
            std::reverse(hops.begin(), hops.end());
            return hops;
        }

        std::uint32_t m_layerCount;
        const std::vector<ChainCandidate>& m_candidates;
        std::uint32_t m_home;
        std::uint32_t m_start; ///< the first layer that the chain is to run
        const ChainCosts& m_costs;
        bool m_partial; ///< whether a stage may stop before its last layer
        std::uint32_t m_dataCentres = 1;
        std::vector<Label> m_labels;
        std::vector<bool> m_isBoundary;
    };

    bool repeats(const std::vector<Hop>& hops)
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
    std::uint32_t home, const Hop* first, const ChainCosts& costs)
{
    const std::uint32_t start = first ? first->layers.end : 0;
    const auto search = [&](bool partial) {
        std::vector<Hop> hops = Search(layerCount, candidates, home, start, costs, partial).run();
        if (first)
            hops.insert(hops.begin(), *first);
        return hops;
    };
    std::vector<Hop> hops = search(true);
    // Engines take a request once. Stages that always run to their last layer cannot come up twice.
    if (repeats(hops))
        hops = search(false);
    auto chain = Chain::make(layerCount, std::move(hops));
    if (!chain.ok())
        return std::nullopt;
    return *std::move(chain);
}

} // namespace crocusmount::relay
