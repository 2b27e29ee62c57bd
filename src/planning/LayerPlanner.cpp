#include "planning/LayerPlanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace crocusmount {

namespace {

    /// KV cache beside the layers, in tokens, and the copies of the model that the fleet should hold to choose it, best
    /// first. With more of it fewer copies fit; what counts is that streams in flight fit at all, because an engine
    /// that runs out of memory turns calls away or reads the newest one again. The first figure was measured on 93
    /// engines (9.5 copies), where it carries a quarter more; 38 engines need all their 4 copies, as a lost one is a
    /// quarter.
    constexpr struct {
        double tokens;
        double copies;
    } KvTargets[] = { { 150000, 6 }, { 110000, 2.5 }, { 88000, 2.5 }, { 60000, 2.5 }, { 40000, 2.5 }, { 25000, 2.5 },
        { 12000, 2.5 }, { 6000, 2.5 }, { 1000, 0 } };
    /// What one more holder of a layer is worth after each holder in the same data centre.
    constexpr double LocalDecay = 0.2;
    /// The same after each holder anywhere.
    constexpr double GlobalDecay = 0.5;
    constexpr double GlobalWeight = 0.5;
    /// Least gain of a move, for each layer moved: less than what a first holder in a data centre is worth beside one
    /// more where a fast and a slow one are (0.9 against 0.5). A move costs its load, and the engine serves nothing
    /// meanwhile.
    constexpr double MoveThreshold = 0.3;
    /// Orders under way with which no engine is moved: the store of weights is shared, and each takes capacity out.
    constexpr std::size_t MostAtOnce = 2;

    /// Kinds of card, and what a holder of one kind counts where an engine of another is placed.
    ///
    /// A holder counts by its speed against the placed engine's or the fleet's mean, whichever is faster, and one at
    /// most: streams at a layer that only slow cards hold still wait for a faster one, while a fleet of slow cards is
    /// served by them. Where all holders counted one, a fleet whose slow cards stand by lost most (odpoklic-lj, five
    /// days with trouble: mean worth 0.470 against 0.509 with slow ones counting in part); where slow ones always
    /// counted in part, a fleet that lives by them did (scc-faq: 0.690 against 0.727).
    class HolderWeights {
    public:
        /// @param target  KV cache beside the layers, in tokens
        HolderWeights(const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines, double target)
            : m_model(model)
        {
            double layers = 0;
            double slowness = 0;
            for (const auto& engine : engines) {
                const auto* kind = model.kind(engine.accelerator);
                if (!kind || engine.leaving)
                    continue;
                const double held = LayerPlanner::layersFor(model, *kind, target);
                layers += held;
                slowness += held * kind->stepFactor;
            }
            m_meanSlowness = layers > 0 ? slowness / layers : 1;
        }

        /// Has each holder count one.
        void countAllAlike() { m_alike = true; }

        std::size_t kinds() const { return m_model.kinds.size() + 1; }
        /// @return index of a kind of card; the last for those that the model does not name
        std::size_t indexOf(const std::string& accelerator) const
        {
            const auto* kind = m_model.kind(accelerator);
            return kind ? static_cast<std::size_t>(kind - m_model.kinds.data()) : m_model.kinds.size();
        }

        double weight(std::size_t holder, std::size_t placed) const
        {
            const double reference = std::min(m_meanSlowness, slownessOf(placed));
            return m_alike ? 1 : std::min(1.0, reference / slownessOf(holder));
        }

    private:
        double slownessOf(std::size_t kind) const
        {
            return kind < m_model.kinds.size() ? m_model.kinds[kind].stepFactor : m_meanSlowness;
        }

        const relay::EngineModel& m_model;
        double m_meanSlowness = 1;
        bool m_alike = false;
    };

    /// What each holder of the first layer is worth, in layers, while a data centre has too few of them. Calls enter
    /// there, and each takes a slot for as long as it runs.
    constexpr double EntryWorth = 2;
    /// Part of the slots that are taken when the memory of a data centre is full.
    constexpr double SlotUse = 0.6;

    /// Holders of each layer, by data centre and in all.
    class Coverage {
    public:
        /// @param entries  holders of the first layer that each data centre should have
        Coverage(std::uint32_t layers, std::map<DataCentreId, double> entries, const HolderWeights& weights)
            : m_layers(layers)
            , m_weights(weights)
            , m_all(emptyLayers())
            , m_entries(std::move(entries))
        {
        }

        /// @param kind    of the holder's card
        /// @param change  1 for one more holder of those layers, -1 for one less
        void add(const DataCentreId& dataCentre, const LayerRange& range, std::size_t kind, int change = 1)
        {
            auto& local = m_local.try_emplace(dataCentre, emptyLayers()).first->second;
            for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layers); ++layer) {
                local[layer][kind] += change;
                m_all[layer][kind] += change;
            }
        }

        /// @return what one more holder of that range is worth
        double worth(const DataCentreId& dataCentre, const LayerRange& range, std::size_t kind)
        {
            const std::vector<double> layers = layerWorths(dataCentre, kind);
            double sum = range.begin == 0 ? entryWorth(dataCentre, kind) : 0;
            for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layers); ++layer)
                sum += layers[layer];
            return sum;
        }

        /// @return the range of so many layers with which one more engine is worth most
        LayerRange best(const DataCentreId& dataCentre, std::uint32_t count, std::size_t kind)
        {
            const std::vector<double> layers = layerWorths(dataCentre, kind);
            const std::uint32_t length = std::min(count, m_layers);
            double sum = 0;
            for (std::uint32_t layer = 0; layer < length; ++layer)
                sum += layers[layer];
            LayerRange chosen { 0, length };
            double most = sum + entryWorth(dataCentre, kind);
            for (std::uint32_t begin = 1; begin + length <= m_layers; ++begin) {
                sum += layers[begin + length - 1] - layers[begin - 1];
                if (sum > most * (1 + 1e-9)) {
                    most = sum;
                    chosen = { begin, begin + length };
                }
            }
            return chosen;
        }

    private:
        using Holders = std::vector<int>; ///< of one layer, by kind of card

        /// @return what one more holder of each layer is worth
        std::vector<double> layerWorths(const DataCentreId& dataCentre, std::size_t kind)
        {
            const auto& local = m_local.try_emplace(dataCentre, emptyLayers()).first->second;
            std::vector<double> worths(m_layers);
            for (std::uint32_t layer = 0; layer < m_layers; ++layer) {
                worths[layer] = std::pow(LocalDecay, count(local[layer], kind))
                    + GlobalWeight * std::pow(GlobalDecay, count(m_all[layer], kind));
            }
            return worths;
        }

        /// @return what the first layer is worth besides, while a data centre has too few holders of it
        double entryWorth(const DataCentreId& dataCentre, std::size_t kind)
        {
            const auto& local = m_local.try_emplace(dataCentre, emptyLayers()).first->second;
            return count(local[0], kind) < m_entries[dataCentre] ? EntryWorth : 0;
        }

        std::vector<Holders> emptyLayers() const { return std::vector<Holders>(m_layers, Holders(m_weights.kinds())); }

        double count(const Holders& holders, std::size_t placed) const
        {
            double sum = 0;
            for (std::size_t kind = 0; kind < holders.size(); ++kind)
                sum += holders[kind] ? holders[kind] * m_weights.weight(kind, placed) : 0;
            return sum;
        }

        std::uint32_t m_layers;
        const HolderWeights& m_weights;
        std::vector<Holders> m_all;
        std::map<DataCentreId, std::vector<Holders>> m_local;
        std::map<DataCentreId, double> m_entries;
    };

    /// @return holders of the first layer that each data centre needs, for the calls that fit into its engines' memory
    std::map<DataCentreId, double> entriesNeeded(
        const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines, double target)
    {
        std::map<DataCentreId, double> needed;
        for (const auto& engine : engines) {
            const auto* kind = model.kind(engine.accelerator);
            if (!kind || engine.leaving)
                continue;
            const double calls = model.kvTokenLayers(*kind, LayerPlanner::layersFor(model, *kind, target))
                / model.layers / model.usualTokens;
            needed[engine.dataCentre] += calls / (SlotUse * std::max(1U, engine.slots));
        }
        return needed;
    }

    double chooseKvTarget(const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines)
    {
        for (const auto& target : KvTargets) {
            double layers = 0;
            for (const auto& engine : engines) {
                const auto* kind = model.kind(engine.accelerator);
                if (kind && !engine.leaving)
                    layers += LayerPlanner::layersFor(model, *kind, target.tokens);
            }
            if (layers >= target.copies * model.layers)
                return target.tokens;
        }
        return KvTargets[std::size(KvTargets) - 1].tokens;
    }

    /// Finds the engine whose range is worth more elsewhere.
    std::optional<LayerPlanner::Order> bestMove(const HolderWeights& weights,
        const std::vector<LayerPlanner::Engine>& engines, const std::set<BackendId>& moving, Coverage& coverage)
    {
        std::optional<LayerPlanner::Order> best;
        double most = 0;
        for (const auto& engine : engines) {
            if (engine.leaving || engine.ordered || !engine.held.size() || moving.count(engine.id))
                continue;
            const std::size_t kind = weights.indexOf(engine.accelerator);
            coverage.add(engine.dataCentre, engine.held, kind, -1);
            const LayerRange range = coverage.best(engine.dataCentre, engine.held.size(), kind);
            const double gain
                = coverage.worth(engine.dataCentre, range, kind) - coverage.worth(engine.dataCentre, engine.held, kind);
            coverage.add(engine.dataCentre, engine.held, kind);
            if (gain > MoveThreshold * engine.held.size() && gain > most) {
                most = gain;
                best = LayerPlanner::Order { engine.id, range };
            }
        }
        return best;
    }

} // namespace

std::uint32_t LayerPlanner::layersFor(
    const relay::EngineModel& model, const relay::AcceleratorKind& kind, double kvTokens)
{
    std::uint32_t count = 0;
    while (count < model.layers && model.kvTokenLayers(kind, count + 1) >= kvTokens * (count + 1))
        ++count;
    return count;
}

std::vector<LayerPlanner::Order> LayerPlanner::plan(
    const relay::EngineModel& model, const std::vector<Engine>& engines, const relay::DisabledMechanisms& without)
{
    const double target = chooseKvTarget(model, engines);
    HolderWeights weights(model, engines, target);
    if (without.has(relay::Mechanism::HolderWeights))
        weights.countAllAlike();
    Coverage coverage(model.layers, entriesNeeded(model, engines, target), weights);
    struct Empty {
        std::uint32_t count = 0; ///< layers to hold
        double slowness = 1; ///< of its kind of card
        const Engine* engine = nullptr;
    };
    std::vector<Empty> empty;
    std::size_t underWay = 0;
    for (const Engine& engine : engines) {
        if (engine.leaving)
            continue;
        underWay += engine.ordered ? 1 : 0;
        const LayerRange range = engine.ordered.value_or(engine.held);
        if (range.size()) {
            coverage.add(engine.dataCentre, range, weights.indexOf(engine.accelerator));
            continue;
        }
        const auto* kind = model.kind(engine.accelerator);
        const std::uint32_t count = kind ? layersFor(model, *kind, target) : 0;
        if (count)
            empty.push_back({ count, kind->stepFactor, &engine });
    }
    // Fast cards tile the model first; slow ones fill the gaps that these leave, then stand by.
    std::stable_sort(
        empty.begin(), empty.end(), [](const Empty& a, const Empty& b) { return a.slowness < b.slowness; });
    std::vector<Order> orders;
    for (const Empty& each : empty) {
        const std::size_t index = weights.indexOf(each.engine->accelerator);
        const LayerRange range = coverage.best(each.engine->dataCentre, each.count, index);
        coverage.add(each.engine->dataCentre, range, index);
        orders.push_back({ each.engine->id, range });
    }
    std::set<BackendId> moving;
    const std::size_t most = without.has(relay::Mechanism::Moves) ? 0 : MostAtOnce;
    while (orders.size() + underWay < most) {
        const auto move = bestMove(weights, engines, moving, coverage);
        if (!move)
            break;
        const auto engine
            = std::find_if(engines.begin(), engines.end(), [&](const Engine& each) { return each.id == move->engine; });
        const std::size_t kind = weights.indexOf(engine->accelerator);
        coverage.add(engine->dataCentre, engine->held, kind, -1);
        coverage.add(engine->dataCentre, move->layers, kind);
        moving.insert(move->engine);
        orders.push_back(*move);
    }
    return orders;
}

} // namespace crocusmount
