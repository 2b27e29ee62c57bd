#include "planning/HolderWeights.h"
#include "planning/LayerPlanner.h"
#include "relay/ChainFinder.h"
#include "relay/EngineCost.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

/// @return a model with 80 layers of 1,750 MB, and 590,000 bytes of KV cache per token.
EngineModel largeModel()
{
    EngineModel model;
    model.layers = 80;
    model.layerMb = 1750;
    model.kvBytesPerToken = 590000;
    model.stepMs = 1.02;
    model.stride = 4;
    model.loadSeconds = 14;
    model.kinds = { { "a100", 72000, 2.4 }, { "v100", 14400, 5.3 }, { "l4", 21600, 16 } };
    return model;
}

/// @return engines with several kinds of accelerators in three data centres, without layers
std::vector<LayerPlanner::Engine> mixedEngines()
{
    const struct {
        const char* dataCentre;
        int a100;
        int v100;
        int l4;
    } counts[] = { { "a", 2, 4, 4 }, { "b", 1, 6, 6 }, { "c", 1, 10, 4 } };
    std::vector<LayerPlanner::Engine> engines;
    const auto add = [&](const char* dataCentre, const char* kind, int count) {
        for (int i = 0; i < count; ++i) {
            LayerPlanner::Engine engine;
            engine.id = BackendId(std::string(dataCentre) + "-" + kind + "-" + std::to_string(i));
            engine.dataCentre = DataCentreId(dataCentre);
            engine.accelerator = kind;
            engine.slots = 192;
            engines.push_back(engine);
        }
    };
    for (const auto& each : counts) {
        add(each.dataCentre, "a100", each.a100);
        add(each.dataCentre, "v100", each.v100);
        add(each.dataCentre, "l4", each.l4);
    }
    return engines;
}

/// Applies placement orders, as if the engines had loaded the layers.
void carryOut(std::vector<LayerPlanner::Engine>& engines, const std::vector<LayerPlanner::Order>& orders)
{
    for (const auto& order : orders) {
        for (auto& engine : engines) {
            if (engine.id == order.engine)
                engine.held = order.layers;
        }
    }
}

/// @param dataCentre  empty for all data centres
/// @return the smallest number of engines that hold a layer
int fewestHolders(const std::vector<LayerPlanner::Engine>& engines, const std::string& dataCentre)
{
    std::vector<int> holders(80);
    for (const auto& engine : engines) {
        if (!dataCentre.empty() && engine.dataCentre.value() != dataCentre)
            continue;
        for (std::uint32_t layer = engine.held.begin; layer < engine.held.end; ++layer)
            ++holders[layer];
    }
    return *std::min_element(holders.begin(), holders.end());
}

ChainCandidate candidate(const char* id, std::uint32_t begin, std::uint32_t end, std::uint32_t dataCentre, double ms)
{
    return { BackendId(id), std::string(id) + ":1", { begin, end }, dataCentre, ms, 0 };
}

/// @return the engine id and layers of each stage, such as "a0-4 b4-8 "
std::string textOf(const std::optional<Chain>& chain)
{
    std::string text;
    for (const Hop& hop : chain ? chain->hops() : std::vector<Hop>()) {
        text += hop.backend.value() + std::to_string(hop.layers.begin) + "-" + std::to_string(hop.layers.end) + " ";
    }
    return text;
}

} // namespace

TEST_GROUP(Placement) {};

TEST(Placement, EnginesWithoutLayersAreOrderedToHoldTheModelInEachDataCentre)
{
    const EngineModel model = largeModel();
    auto engines = mixedEngines();
    const auto orders = LayerPlanner::plan(model, engines);
    CHECK_EQUAL(engines.size(), orders.size());
    carryOut(engines, orders);
    for (const char* dataCentre : { "a", "b", "c" })
        CHECK_TRUE_TEXT(fewestHolders(engines, dataCentre) >= 1, dataCentre);
    CHECK_TRUE(fewestHolders(engines, "") >= 3);
}

TEST(Placement, NoEngineIsOrderedToHoldMoreLayersThanFit)
{
    const EngineModel model = largeModel();
    for (std::size_t count : { 1U, 3U, 10U, 38U }) {
        auto engines = mixedEngines();
        engines.resize(count);
        for (const auto& order : LayerPlanner::plan(model, engines)) {
            for (const auto& engine : engines) {
                if (engine.id == order.engine) {
                    CHECK_TRUE(order.layers.size() * model.layerMb < model.kind(engine.accelerator)->memoryMb);
                    CHECK_TRUE(order.layers.end <= model.layers);
                }
            }
        }
    }
}

// A fast engine that came back was ordered to hold layers that no slow engine held, not the layers that only slow
// engines held (simulated day skanas-profili-grown trouble-1, an a100).
TEST(Placement, AFastEngineIsPlacedOnLayersThatOnlySlowEnginesHold)
{
    const EngineModel model = largeModel();
    std::vector<LayerPlanner::Engine> engines;
    const auto add = [&](const std::string& id, const char* kind, LayerRange held) {
        LayerPlanner::Engine engine;
        engine.id = BackendId(id);
        engine.dataCentre = DataCentreId("a");
        engine.accelerator = kind;
        engine.slots = 100000;
        engine.held = held;
        engines.push_back(engine);
    };
    for (std::uint32_t begin = 0; begin < 80; begin += 8)
        add("l4-" + std::to_string(begin), "l4", { begin, begin + 8 });
    // The first 28 layers have at least as many holders as the other layers, but all of them are slow.
    for (std::uint32_t begin = 0; begin < 56; begin += 8)
        add("extra-" + std::to_string(begin), "l4", { begin % 28, begin % 28 + 8 });
    for (std::uint32_t begin = 28; begin < 80; begin += 5)
        add("v100-" + std::to_string(begin), "v100", { begin, std::min(80U, begin + 5) });
    add("back", "a100", {});
    const auto orders = LayerPlanner::plan(model, engines);
    CHECK_EQUAL(1U, orders.size());
    CHECK_TRUE(orders.front().layers.begin <= 1);
}

// Each call uses a slot of its first stage, and too few engines held the first layer (simulated day odpoklic-lj-grown
// scale-1).
TEST(Placement, MoreEnginesHoldTheFirstLayerIfEnginesHaveFewSlots)
{
    const auto firstStagesWith = [](std::uint32_t slots) {
        auto engines = mixedEngines();
        for (auto& engine : engines)
            engine.slots = slots;
        carryOut(engines, LayerPlanner::plan(largeModel(), engines));
        return std::count_if(engines.begin(), engines.end(),
            [](const auto& engine) { return engine.held.size() && engine.held.begin == 0; });
    };
    CHECK_TRUE(firstStagesWith(60) >= firstStagesWith(100000) + 2);
    CHECK_TRUE(firstStagesWith(60) >= 8); // About 500 calls fit into the memory of all engines.
}

TEST(Placement, NoOrdersAreGivenOnceThePlacementIsStable)
{
    auto engines = mixedEngines();
    for (int round = 0; round < 30; ++round)
        carryOut(engines, LayerPlanner::plan(largeModel(), engines));
    CHECK_EQUAL(0U, LayerPlanner::plan(largeModel(), engines).size());
}

// After an engine left, no engine of its data centre held its 28 layers until the end of the day (simulated day
// skanas-profili scale-1, an a100).
TEST(Placement, EnginesMoveToLayersWithoutAHolder)
{
    auto engines = mixedEngines();
    carryOut(engines, LayerPlanner::plan(largeModel(), engines));
    std::erase_if(engines, [](const auto& engine) { return engine.id.value() == "b-a100-0"; });
    CHECK_EQUAL(0, fewestHolders(engines, "b"));
    for (int round = 0; round < 10; ++round) {
        const auto orders = LayerPlanner::plan(largeModel(), engines);
        CHECK_TRUE(orders.size() <= 2); // The other engines must keep serving.
        carryOut(engines, orders);
    }
    int missingLayers = 0;
    for (std::uint32_t layer = 0; layer < 80; ++layer) {
        missingLayers += std::none_of(engines.begin(), engines.end(), [&](const auto& engine) {
            return engine.dataCentre.value() == "b" && engine.held.begin <= layer && layer < engine.held.end;
        });
    }
    // 28 layers were missing, and the remaining engines of this data centre can hold 78. A gap smaller than the range
    // of an engine is not worth a move.
    CHECK_TRUE(missingLayers <= 8);
}

// Engines with dozens of running streams were moved as often as idle ones. A moved engine holds no layers until its
// last stream has ended, and this happened while the fleet was short of capacity.
TEST(Placement, AnEngineIsMovedOnlyWhileFewStreamsUseIt)
{
    const struct {
        const char* name;
        std::vector<double> memoryUse; ///< used fraction of KV cache memory of each holder of layers 8 to 16
        std::vector<std::string> moved; ///< ids of these holders that are moved
    } cases[] = {
        { "one of them is idle", { 0.9, 0, 0.9 }, { "1" } },
        { "one of them is little used", { 0.9, 0.5, 0.05 }, { "2" } },
        { "two of them are idle", { 0, 0.9, 0 }, { "0", "2" } },
        { "all of them are in use", { 0.5, 0.5, 0.5 }, {} },
        { "all of them are overcommitted", { 3, 3, 3 }, {} },
    };
    const EngineModel model = largeModel();
    const AcceleratorKind& card = *model.kind("l4");
    for (const auto& each : cases) {
        std::vector<LayerPlanner::Engine> engines;
        const auto add = [&](const std::string& id, const LayerRange& held, double memoryUse) {
            LayerPlanner::Engine engine;
            engine.id = BackendId(id);
            engine.dataCentre = DataCentreId("a");
            engine.accelerator = card.name;
            engine.held = held;
            engine.tokenLayers = memoryUse * model.kvTokenLayers(card, held.size());
            engines.push_back(engine);
        };
        for (std::size_t i = 0; i < each.memoryUse.size(); ++i)
            add(std::to_string(i), { 8, 16 }, each.memoryUse[i]);
        // No engine holds the last eight layers.
        for (std::uint32_t begin = 0; begin < 72; begin += 8)
            add("holder-" + std::to_string(begin), { begin, begin + 8 }, 1);
        std::vector<std::string> moved;
        for (const auto& order : LayerPlanner::plan(model, engines))
            moved.push_back(order.engine.value());
        std::sort(moved.begin(), moved.end());
        CHECK_TRUE_TEXT(moved == each.moved, each.name);
    }
}

TEST(Placement, AnEngineGetsNoSecondOrderWhileOneIsPending)
{
    auto engines = mixedEngines();
    for (auto& engine : engines)
        engine.ordered = LayerRange { 0, 5 };
    CHECK_EQUAL(0U, LayerPlanner::plan(largeModel(), engines).size());
}

TEST(Placement, TheCheapestChainRunsEachLayerOnceAndInOrder)
{
    const struct {
        const char* name;
        std::vector<ChainCandidate> candidates;
        const char* expected;
    } cases[] = {
        { "no candidates", {}, "" },
        { "layers without a holder", { candidate("a", 0, 4, 0, 1), candidate("b", 5, 8, 0, 1) }, "" },
        { "one engine", { candidate("a", 0, 8, 0, 1) }, "a0-8 " },
        { "overlapping layers run once", { candidate("a", 0, 5, 0, 1), candidate("b", 3, 8, 0, 2) }, "a0-5 b5-8 " },
        { "overlapping layers run at the faster engine", { candidate("a", 0, 5, 0, 9), candidate("b", 3, 8, 0, 1) },
            "a0-3 b3-8 " },
        { "an engine in the same data centre is preferred",
            { candidate("a", 0, 4, 0, 1), candidate("b", 4, 8, 1, 1), candidate("c", 4, 8, 0, 2) }, "a0-4 c4-8 " },
        { "another data centre if necessary", { candidate("a", 0, 4, 0, 1), candidate("b", 4, 8, 1, 1) },
            "a0-4 b4-8 " },
        { "layers beyond the model", { candidate("a", 0, 9, 0, 1) }, "" },
        { "no engine is used twice", { candidate("a", 0, 8, 0, 3), candidate("b", 2, 4, 0, 0.01) }, "a0-8 " },
    };
    for (const auto& each : cases)
        CHECK_TEXT(each.expected, textOf(ChainFinder::find(8, each.candidates, 0)));
}

TEST(Placement, AChainMayBeginWithAGivenStage)
{
    const Hop first { BackendId("f"), "f:1", { 0, 3 }, Generation() };
    const std::vector<ChainCandidate> candidates { candidate("a", 0, 8, 0, 1), candidate("b", 3, 8, 0, 2) };
    CHECK_TEXT("f0-3 a3-8 ", textOf(ChainFinder::find(8, candidates, 0, &first)));
}

TEST(Placement, AnEngineCostsMoreTheFullerItIs)
{
    const EngineModel model = largeModel();
    double previousCost = 0;
    for (const double tokens : { 0.0, 20000.0, 60000.0, 100000.0 }) {
        const EngineCost cost(model, model.kinds[0], 28, tokens);
        CHECK_TRUE(cost.marginalMsPerLayer() > previousCost);
        previousCost = cost.marginalMsPerLayer();
    }
    CHECK_TRUE(EngineCost(model, model.kinds[0], 41, 10000).fill() > 1);
}

TEST(Placement, AHolderIsWeightedBySpeedRelativeToThePlacedEngineOrTheFleet)
{
    const EngineModel model = largeModel(); // Kinds 0 to 2 have the step factors 2.4, 5.3 and 16.
    const struct {
        const char* name;
        double meanSlowness;
        std::size_t holder;
        std::size_t placed;
        double weight;
    } cases[] = {
        { "a fast engine has full weight", 8, 0, 2, 1 },
        { "a slow engine is weighted by the mean of the fleet", 8, 2, 2, 0.5 },
        { "a slow engine in a slow fleet has full weight", 16, 2, 2, 1 },
        { "a slow engine is weighted by a faster placed engine", 16, 2, 0, 0.15 },
        { "an engine of the kind of the placed engine has full weight", 8, 0, 0, 1 },
    };
    for (const auto& each : cases) {
        HolderWeights weights(model, each.meanSlowness);
        DOUBLES_EQUAL_TEXT(each.weight, weights.weight(each.holder, each.placed), 1e-9, each.name);
        weights.weighAllEqually();
        DOUBLES_EQUAL_TEXT(1, weights.weight(each.holder, each.placed), 1e-9, each.name);
    }
}
