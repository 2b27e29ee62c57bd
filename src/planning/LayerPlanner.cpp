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

    /// Kinds of card up to this many times slower than the fastest count as fast.
    constexpr double FastFactor = 4;
    /// What a slow holder counts where a fast engine is placed: the streams there still wait for one. Where a slow one
    /// is placed, all holders count in full, so that the layers of a fast engine get a second holder too: its loss is
    /// the widest gap. (scc-faq, 15 days with trouble: mean worth 0.715 where slow holders always counted in part,
    /// 0.729.)
    constexpr double SlowShare = 0.4;

    bool isFast(const relay::EngineModel& model, const std::string& accelerator)
    {
        const auto* kind = model.kind(accelerator);
        double fastest = kind ? kind->stepFactor : 1;
        for (const auto& each : model.kinds)
            fastest = std::min(fastest, each.stepFactor);
        return !kind || kind->stepFactor <= FastFactor * fastest;
    }

    /// What each holder of the first layer is worth, in layers, while a data centre has too few of them. Calls enter
    /// there, and each takes a slot for as long as it runs.
    constexpr double EntryWorth = 2;
    /// Part of the slots that are taken when the memory of a data centre is full.
    constexpr double SlotUse = 0.6;

    /// Holders of one layer.
    struct Holders {
        int fast = 0;
        int slow = 0;

        /// @return how many there are where each slow one counts so much
        double count(double slowWeight) const { return fast + slowWeight * slow; }
    };

    /// Holders of each layer, by data centre and in all.
    class Coverage {
    public:
        /// @param entries  holders of the first layer that each data centre should have
        /// @param slowShare  what a slow holder counts where a slow engine is placed
        Coverage(std::uint32_t layers, std::map<DataCentreId, double> entries, double slowShare)
            : m_layers(layers)
            , m_slowShare(slowShare)
            , m_all(layers)
            , m_entries(std::move(entries))
        {
        }

        /// @param change  1 for one more holder of those layers, -1 for one less
        void add(const DataCentreId& dataCentre, const LayerRange& range, bool fast, int change = 1)
        {
            auto& local = m_local.try_emplace(dataCentre, m_layers).first->second;
            for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layers); ++layer) {
                (fast ? local[layer].fast : local[layer].slow) += change;
                (fast ? m_all[layer].fast : m_all[layer].slow) += change;
            }
        }

        /// @return what one more holder of that range is worth
        double worth(const DataCentreId& dataCentre, const LayerRange& range, bool fast)
        {
            const auto& local = m_local.try_emplace(dataCentre, m_layers).first->second;
            const double weight = fast ? SlowShare : m_slowShare;
            double sum = range.begin == 0 && local[0].count(weight) < m_entries[dataCentre] ? EntryWorth : 0;
            for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layers); ++layer) {
                sum += std::pow(LocalDecay, local[layer].count(weight))
                    + GlobalWeight * std::pow(GlobalDecay, m_all[layer].count(weight));
            }
            return sum;
        }

        /// @return the range of so many layers with which one more engine is worth most
        LayerRange best(const DataCentreId& dataCentre, std::uint32_t count, bool fast)
        {
            LayerRange chosen { 0, std::min(count, m_layers) };
            double most = worth(dataCentre, chosen, fast);
            for (std::uint32_t begin = 1; begin + count <= m_layers; ++begin) {
                const LayerRange range { begin, begin + count };
                const double value = worth(dataCentre, range, fast);
                if (value > most * (1 + 1e-9)) {
                    most = value;
                    chosen = range;
                }
            }
            return chosen;
        }

    private:
        std::uint32_t m_layers;
        double m_slowShare;
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
    std::optional<LayerPlanner::Order> bestMove(const relay::EngineModel& model,
        const std::vector<LayerPlanner::Engine>& engines, const std::set<BackendId>& moving, Coverage& coverage)
    {
        std::optional<LayerPlanner::Order> best;
        double most = 0;
        for (const auto& engine : engines) {
            if (engine.leaving || engine.ordered || !engine.held.size() || moving.count(engine.id))
                continue;
            const bool fast = isFast(model, engine.accelerator);
            coverage.add(engine.dataCentre, engine.held, fast, -1);
            const LayerRange range = coverage.best(engine.dataCentre, engine.held.size(), fast);
            const double gain
                = coverage.worth(engine.dataCentre, range, fast) - coverage.worth(engine.dataCentre, engine.held, fast);
            coverage.add(engine.dataCentre, engine.held, fast);
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
    const double slowShare = without.has(relay::Mechanism::SpareHolders) ? SlowShare : 1;
    Coverage coverage(model.layers, entriesNeeded(model, engines, target), slowShare);
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
            coverage.add(engine.dataCentre, range, isFast(model, engine.accelerator));
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
        const bool fast = isFast(model, each.engine->accelerator);
        const LayerRange range = coverage.best(each.engine->dataCentre, each.count, fast);
        coverage.add(each.engine->dataCentre, range, fast);
        orders.push_back({ each.engine->id, range });
    }
    std::set<BackendId> moving;
    const std::size_t most = without.has(relay::Mechanism::Moves) ? 0 : MostAtOnce;
    while (orders.size() + underWay < most) {
        const auto move = bestMove(model, engines, moving, coverage);
        if (!move)
            break;
        const auto engine
            = std::find_if(engines.begin(), engines.end(), [&](const Engine& each) { return each.id == move->engine; });
        const bool fast = isFast(model, engine->accelerator);
        coverage.add(engine->dataCentre, engine->held, fast, -1);
        coverage.add(engine->dataCentre, move->layers, fast);
        moving.insert(move->engine);
        orders.push_back(*move);
    }
    return orders;
}

} // namespace crocusmount
