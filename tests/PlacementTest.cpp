#include "planning/HolderWeights.h"
#include "planning/LayerPlanner.h"
#include "relay/ChainFinder.h"
#include "relay/EngineCost.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

/// The users' model: 80 layers of 1,750 MB and 590,000 bytes of KV cache a token.
EngineModel usersModel()
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

/// Three data centres with the users' cards.
std::vector<LayerPlanner::Engine> usersEngines()
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

void carryOut(std::vector<LayerPlanner::Engine>& engines, const std::vector<LayerPlanner::Order>& orders)
{
    for (const auto& order : orders) {
        for (auto& engine : engines) {
            if (engine.id == order.engine)
                engine.held = order.layers;
        }
    }
}

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

TEST(Placement, AColdFleetHoldsTheModelInEachDataCentre)
{
    const EngineModel model = usersModel();
    auto engines = usersEngines();
    const auto orders = LayerPlanner::plan(model, engines);
    CHECK_EQUAL(engines.size(), orders.size());
    carryOut(engines, orders);
    for (const char* dataCentre : { "a", "b", "c" })
        CHECK_TRUE_TEXT(fewestHolders(engines, dataCentre) >= 1, dataCentre);
    CHECK_TRUE(fewestHolders(engines, "") >= 3);
}

TEST(Placement, NoEngineIsOrderedToHoldMoreThanFits)
{
    const EngineModel model = usersModel();
    for (std::size_t count : { 1U, 3U, 10U, 38U }) {
        auto engines = usersEngines();
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

// skanas-profili-grown trouble-1: an a100 that came back was sent where slow cards held nothing, not to the layers that
// only slow cards held.
TEST(Placement, AFastEngineGoesWhereOnlySlowOnesHoldLayers)
{
    const EngineModel model = usersModel();
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
    // As many slow holders of the first 28 layers as the others have in all, and more.
    for (std::uint32_t begin = 0; begin < 56; begin += 8)
        add("extra-" + std::to_string(begin), "l4", { begin % 28, begin % 28 + 8 });
    for (std::uint32_t begin = 28; begin < 80; begin += 5)
        add("v100-" + std::to_string(begin), "v100", { begin, std::min(80U, begin + 5) });
    add("back", "a100", {});
    const auto orders = LayerPlanner::plan(model, engines);
    CHECK_EQUAL(1U, orders.size());
    CHECK_TRUE(orders.front().layers.begin <= 1);
}

// odpoklic-lj-grown scale-1: each call takes a slot of its first stage, and too few engines held the first layer.
TEST(Placement, MoreEnginesHoldTheFirstLayerWhereSlotsAreFew)
{
    const auto entriesWith = [](std::uint32_t slots) {
        auto engines = usersEngines();
        for (auto& engine : engines)
            engine.slots = slots;
        carryOut(engines, LayerPlanner::plan(usersModel(), engines));
        return std::count_if(engines.begin(), engines.end(),
            [](const auto& engine) { return engine.held.size() && engine.held.begin == 0; });
    };
    CHECK_TRUE(entriesWith(60) >= entriesWith(100000) + 2);
    CHECK_TRUE(entriesWith(60) >= 8); // About 500 calls fit into the memory of all engines.
}

TEST(Placement, ASettledFleetIsLeftAlone)
{
    auto engines = usersEngines();
    for (int round = 0; round < 30; ++round)
        carryOut(engines, LayerPlanner::plan(usersModel(), engines));
    CHECK_EQUAL(0U, LayerPlanner::plan(usersModel(), engines).size());
}

// skanas-profili scale-1: an a100 left, and its data centre had no holder of its 28 layers until the end of the day.
TEST(Placement, EnginesMoveWhereHoldersAreMissing)
{
    auto engines = usersEngines();
    carryOut(engines, LayerPlanner::plan(usersModel(), engines));
    std::erase_if(engines, [](const auto& engine) { return engine.id.value() == "b-a100-0"; });
    CHECK_EQUAL(0, fewestHolders(engines, "b"));
    for (int round = 0; round < 10; ++round) {
        const auto orders = LayerPlanner::plan(usersModel(), engines);
        CHECK_TRUE(orders.size() <= 2); // The rest must serve meanwhile.
        carryOut(engines, orders);
    }
    int holes = 0;
    for (std::uint32_t layer = 0; layer < 80; ++layer) {
        holes += std::none_of(engines.begin(), engines.end(), [&](const auto& engine) {
            return engine.dataCentre.value() == "b" && engine.held.begin <= layer && layer < engine.held.end;
        });
    }
    // 28 layers were missing, and the cards left there hold 78. A gap smaller than a card's range is not worth a move.
    CHECK_TRUE(holes <= 8);
}

// Engines that dozens of streams passed through were moved as readily as idle ones, and held nothing until the last of
// these had ended, while the fleet was short of room.
TEST(Placement, AnEngineIsMovedOnlyWhileLittleRunsThere)
{
    const struct {
        const char* name;
        std::vector<double> use; ///< part of the memory for requests in use, of each holder of the same layers
        std::vector<std::string> moved;
    } cases[] = {
        { "one of them is idle", { 0.9, 0, 0.9 }, { "1" } },
        { "little runs at one of them", { 0.9, 0.5, 0.05 }, { "2" } },
        { "two of them are idle", { 0, 0.9, 0 }, { "0", "2" } },
        { "all are in use", { 0.5, 0.5, 0.5 }, {} },
        { "more is booked than fits", { 3, 3, 3 }, {} },
    };
    const EngineModel model = usersModel();
    const AcceleratorKind& card = *model.kind("l4");
    for (const auto& each : cases) {
        std::vector<LayerPlanner::Engine> engines;
        const auto add = [&](const std::string& id, const LayerRange& held, double use) {
            LayerPlanner::Engine engine;
            engine.id = BackendId(id);
            engine.dataCentre = DataCentreId("a");
            engine.accelerator = card.name;
            engine.held = held;
            engine.tokenLayers = use * model.kvTokenLayers(card, held.size());
            engines.push_back(engine);
        };
        for (std::size_t i = 0; i < each.use.size(); ++i)
            add(std::to_string(i), { 8, 16 }, each.use[i]);
        // Nothing holds the last eight layers.
        for (std::uint32_t begin = 0; begin < 72; begin += 8)
            add("holder-" + std::to_string(begin), { begin, begin + 8 }, 1);
        std::vector<std::string> moved;
        for (const auto& order : LayerPlanner::plan(model, engines))
            moved.push_back(order.engine.value());
        std::sort(moved.begin(), moved.end());
        CHECK_TRUE_TEXT(moved == each.moved, each.name);
    }
}

TEST(Placement, AnEngineWithAnOrderUnderWayGetsNoOther)
{
    auto engines = usersEngines();
    for (auto& engine : engines)
        engine.ordered = LayerRange { 0, 5 };
    CHECK_EQUAL(0U, LayerPlanner::plan(usersModel(), engines).size());
}

TEST(Placement, TheCheapestChainTilesTheModel)
{
    const struct {
        const char* name;
        std::vector<ChainCandidate> candidates;
        const char* expected;
    } cases[] = {
        { "nothing", {}, "" },
        { "gap", { candidate("a", 0, 4, 0, 1), candidate("b", 5, 8, 0, 1) }, "" },
        { "one", { candidate("a", 0, 8, 0, 1) }, "a0-8 " },
        { "overlap runs once", { candidate("a", 0, 5, 0, 1), candidate("b", 3, 8, 0, 2) }, "a0-5 b5-8 " },
        { "slow overlap runs least", { candidate("a", 0, 5, 0, 9), candidate("b", 3, 8, 0, 1) }, "a0-3 b3-8 " },
        { "local first", { candidate("a", 0, 4, 0, 1), candidate("b", 4, 8, 1, 1), candidate("c", 4, 8, 0, 2) },
            "a0-4 c4-8 " },
        { "across where nothing is local", { candidate("a", 0, 4, 0, 1), candidate("b", 4, 8, 1, 1) }, "a0-4 b4-8 " },
        { "past the model", { candidate("a", 0, 9, 0, 1) }, "" },
        { "no stage twice", { candidate("a", 0, 8, 0, 3), candidate("b", 2, 4, 0, 0.01) }, "a0-8 " },
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
    const EngineModel model = usersModel();
    double before = 0;
    for (const double tokens : { 0.0, 20000.0, 60000.0, 100000.0 }) {
        const EngineCost cost(model, model.kinds[0], 28, tokens);
        CHECK_TRUE(cost.marginalMsPerLayer() > before);
        before = cost.marginalMsPerLayer();
    }
    CHECK_TRUE(EngineCost(model, model.kinds[0], 41, 10000).fill() > 1);
}

TEST(Placement, AHolderCountsByItsSpeedAgainstThePlacedEngineOrTheFleet)
{
    const EngineModel model = usersModel(); // Kinds 0 to 2: slowness 2.4, 5.3 and 16.
    const struct {
        const char* name;
        double meanSlowness;
        std::size_t holder;
        std::size_t placed;
        double weight;
    } cases[] = {
        { "a fast one counts in full", 8, 0, 2, 1 },
        { "a slow one counts by the fleet's mean", 8, 2, 2, 0.5 },
        { "in a fleet of slow cards it counts in full", 16, 2, 2, 1 },
        { "beside a fast engine it counts by that one", 16, 2, 0, 0.15 },
        { "its own kind counts in full for a fast engine", 8, 0, 0, 1 },
    };
    for (const auto& each : cases) {
        HolderWeights weights(model, each.meanSlowness);
        DOUBLES_EQUAL_TEXT(each.weight, weights.weight(each.holder, each.placed), 1e-9, each.name);
        weights.countAllAlike();
        DOUBLES_EQUAL_TEXT(1, weights.weight(each.holder, each.placed), 1e-9, each.name);
    }
}
