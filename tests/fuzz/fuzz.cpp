// Stateful fuzz test. It runs random sequences of actions of callers and operators, and of faults, against several
// reducers, and checks the promises as invariants. RapidCheck generates each sequence, shrinks a failing one and prints
// it with its seed.

#include "programs/CommandLine.h"
#include "tests/fakes/World.h"

#include <iostream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace {

using namespace crocusmount;

std::uint64_t stepsRun = 0;
Guards guardsInForce;

/// Kinds of commands. Step::run() relies on their order: requests, engines, entry instances and store, clock.
enum class Act {
    Send,
    SendOnce,
    SendKeyed,
    SendSameKey,
    CallerLeaves,
    KillEngine,
    ReviveEngine,
    PauseEngine,
    SlowEngine,
    EngineMisbehaves,
    EngineLeaves,
    StoreDown,
    StoreLosesReplies,
    StoreDelaysWrite,
    StoreDelaysRead,
    KillEntry,
    RestartEntry,
    PauseEntry,
    DrainEntry,
    CutEntry,
    Configure,
    RaceOperators,
    Advance,
    AdvanceLong,
    Count
};

const char* const actNames[] = { "Send", "SendOnce", "SendKeyed", "SendSameKey", "CallerLeaves", "KillEngine",
    "ReviveEngine", "PauseEngine", "SlowEngine", "EngineMisbehaves", "EngineLeaves", "StoreDown", "StoreLosesReplies",
    "StoreDelaysWrite", "StoreDelaysRead", "KillEntry", "RestartEntry", "PauseEntry", "DrainEntry", "CutEntry",
    "Configure", "RaceOperators", "Advance", "AdvanceLong" };

/// The system under test, and the requests with keys that later commands may repeat.
struct Fuzzed {
    std::unique_ptr<World> world;
    std::uint64_t nextKey = 1;
    std::vector<RequestSpec> keyed; ///< requests sent with an idempotency key

    Fuzzed()
    {
        World::Options options;
        options.core.claimShards = 2;
        options.core.entryLifetime = std::chrono::seconds(1);
        options.core.guards = guardsInForce;
        world = std::make_unique<World>(options);
        world->addObject("workspaces/w", "{}");
        world->addObject("workspaces/v", R"({"weight":2})");
        world->addObject("pipelines/p", R"({"model":"m","layers":4,"deadlineMs":20000})");
        world->addObject("pipelines/look", R"({"kind":"Lookup","model":"l","layers":1,"deadlineMs":3000})");
        world->addEngine("a1", "m", { 0, 2 }, 2, 20000);
        world->addEngine("a2", "m", { 0, 2 }, 2, 20000);
        world->addEngine("b1", "m", { 2, 4 }, 2, 20000);
        world->addEngine("b2", "m", { 2, 4 }, 2, 30000);
        world->addEngine("c1", "m", { 0, 4 }, 1, 50000);
        world->addEngine("l1", "l", { 0, 1 }, 2, 5000);
        world->addEngine("l2", "l", { 0, 1 }, 2, 5000);
        world->start();
        world->advance(std::chrono::seconds(2));
    }
};

/// The model state that RapidCheck requires. World's oracle checks the promises, so the model only counts commands.
struct Model {
    std::uint32_t sent = 0;
};

/// One command. `a` and `b` are random arguments, whose meaning depends on `act`.
struct Step : rc::state::Command<Model, Fuzzed> {
    Act act = static_cast<Act>(*rc::gen::inRange(0, static_cast<int>(Act::Count)));
    std::uint32_t a = *rc::gen::inRange(0U, 1000U);
    std::uint32_t b = *rc::gen::inRange(0U, 1000U);

    void apply(Model& model) const override { ++model.sent; }
    void run(const Model&, Fuzzed& sut) const override;
    void show(std::ostream& out) const override
    {
        out << actNames[static_cast<int>(act)] << "(" << a << "," << b << ")";
    }

private:
    void runRequest(Fuzzed&) const;
    void leave(World&) const;
    void runEngine(World&) const;
    void runPlatform(World&) const;
    void misbehave(FakeEngine&) const;
};

void Step::runRequest(Fuzzed& sut) const
{
    World& world = *sut.world;
    RequestSpec spec;
    spec.workspace = WorkspaceId(a % 3 ? "w" : "v");
    spec.pipeline = PipelineId(b % 4 ? "p" : "look");
    spec.maxTokens = 1 + b % 12;
    spec.prompt = "prompt" + std::to_string(sut.nextKey);
    const std::size_t entry = a % world.entryCount();
    if (act == Act::SendSameKey) {
        if (!sut.keyed.empty())
            world.send(entry, sut.keyed[b % sut.keyed.size()]);
        return;
    }
    if (act != Act::Send) {
        spec.idempotencyKey = "key" + std::to_string(sut.nextKey);
        spec.repeatable = act != Act::SendOnce;
        sut.keyed.push_back(spec);
    }
    ++sut.nextKey;
    world.send(entry, spec);
    // Sends the same key to two entry instances at the same time.
    if (act == Act::SendOnce && b % 3 == 0)
        world.send((entry + 1) % world.entryCount(), spec);
}

void Step::leave(World& world) const
{
    if (!world.requests().empty())
        world.leave(b % world.requests().size());
}

void Step::misbehave(FakeEngine& engine) const
{
    FakeEngine::Faults& faults = engine.faults();
    std::uint32_t* const counts[] = { &faults.refuse, &faults.wrongTrace, &faults.duplicate, &faults.cross, &faults.gap,
        &faults.truncate, &faults.late };
    *counts[b % std::size(counts)] = 1 + b % 3;
}

void Step::runEngine(World& world) const
{
    FakeEngine& engine = world.engine(a % world.engineCount());
    switch (act) {
    case Act::KillEngine:
        engine.die();
        break;
    case Act::ReviveEngine:
        if (!engine.alive())
            engine.revive();
        break;
    case Act::PauseEngine:
        engine.pauseUntil(world.now() + std::chrono::milliseconds(b * 5));
        break;
    case Act::SlowEngine:
        engine.setSlowFactor(1 + b % 20);
        break;
    case Act::EngineLeaves:
        if (!engine.leaving())
            engine.leave(world.now());
        break;
    default:
        misbehave(engine);
    }
}

void Step::runPlatform(World& world) const
{
    const std::size_t entry = a % world.entryCount();
    switch (act) {
    case Act::StoreDown:
        world.store().setDownUntil(world.now() + std::chrono::milliseconds(b * 10));
        break;
    case Act::StoreLosesReplies:
        world.store().loseNextReplies(1 + b % 4);
        break;
    case Act::StoreDelaysWrite:
        world.store().delayNextWrite(std::chrono::milliseconds(1 + b * 6));
        break;
    case Act::StoreDelaysRead:
        world.store().delayNextConfigurationRead(std::chrono::milliseconds(1 + b * 3));
        break;
    case Act::KillEntry:
        world.killEntry(entry);
        break;
    case Act::RestartEntry:
        world.restartEntry(entry);
        break;
    case Act::PauseEntry:
        world.pauseEntry(entry, std::chrono::milliseconds(b * 5));
        break;
    case Act::DrainEntry:
        if (world.entryAlive(entry))
            world.drainEntry(entry);
        break;
    case Act::CutEntry:
        world.cutPeers(entry, std::chrono::milliseconds(b * 10));
        break;
    case Act::Configure:
        world.writeObject("workspaces/w" + std::to_string(b % 5), b % 2 ? R"({"weight":3})" : "{}");
        break;
    default:
        world.raceOperators("workspaces/x", R"({"weight":4})", R"({"weight":5})");
    }
}

void Step::run(const Model&, Fuzzed& sut) const
{
    ++stepsRun;
    World& world = *sut.world;
    if (act <= Act::SendSameKey)
        runRequest(sut);
    else if (act == Act::CallerLeaves)
        leave(world);
    else if (act <= Act::EngineLeaves)
        runEngine(world);
    else if (act <= Act::RaceOperators)
        runPlatform(world);
    else
        world.advance(std::chrono::milliseconds(act == Act::Advance ? 1 + b : 1 + b * 8));
    if (!world.violation().empty())
        RC_FAIL(world.violation());
}

void property()
{
    Fuzzed sut;
    rc::state::check(Model(), sut, rc::state::gen::execOneOfWithArgs<Step>());
    sut.world->advance(std::chrono::seconds(60));
    sut.world->checkSettled();
    if (!sut.world->violation().empty())
        RC_FAIL(sut.world->violation());
}

/// @return whether a guard of that name exists
bool switchOff(const std::string& name)
{
    const std::map<std::string, bool*> guards { { "claimBeforeDispatch", &guardsInForce.claimBeforeDispatch },
        { "verifyTrace", &guardsInForce.verifyTrace }, { "dropDoubledFrames", &guardsInForce.dropDoubledFrames },
        { "dropCrossedFrames", &guardsInForce.dropCrossedFrames },
        { "checkFrameOrder", &guardsInForce.checkFrameOrder }, { "checkEndCount", &guardsInForce.checkEndCount },
        { "neverRevert", &guardsInForce.neverRevert }, { "settleUnknownClaims", &guardsInForce.settleUnknownClaims },
        { "truthfulRunState", &guardsInForce.truthfulRunState },
        { "keepNonRepeatable", &guardsInForce.keepNonRepeatable }, { "refuseLeaving", &guardsInForce.refuseLeaving },
        { "waitForStreams", &guardsInForce.waitForStreams } };
    const auto found = guards.find(name);
    if (found == guards.end())
        return false;
    *found->second = false;
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv,
        "Usage: crocusmount-fuzz [options]\n\nPrints the failing commands, shrunk; the same seed fails again.\n",
        { { "seed", "N", "first seed (1)" }, { "cases", "N", "cases per seed (100)" },
            { "minutes", "N", "go on with further seeds for so long" },
            { "mutate", "GUARD", "switch one guard off; the run is then expected to fail" } });
    if (arguments.has("mutate") && !switchOff(arguments.get("mutate"))) {
        std::cerr << "crocusmount-fuzz: unknown guard " << arguments.get("mutate") << "\n";
        return ExitUsage;
    }
    const long cases = arguments.number("cases", 100).value_or(100);
    const auto end
        = std::chrono::steady_clock::now() + std::chrono::minutes(arguments.number("minutes", 0).value_or(0));
    long seed = arguments.number("seed", 1).value_or(1);
    bool held = true;
    do {
        const std::string parameters
            = "seed=" + std::to_string(seed) + " max_success=" + std::to_string(cases) + " max_size=120";
        setenv("RC_PARAMS", parameters.c_str(), 1);
        rc::detail::TestMetadata metadata;
        metadata.id = "promises";
        metadata.description = "promises hold, seed " + std::to_string(seed);
        rc::detail::TestParams params;
        params.seed = static_cast<std::uint64_t>(seed);
        params.maxSuccess = static_cast<int>(cases);
        params.maxSize = 120;
        params.disableShrinking = arguments.has("mutate");
        const auto result = rc::detail::checkTestable(&property, metadata, params);
        if (!result.template is<rc::detail::SuccessResult>()) {
            rc::detail::printResultMessage(result, std::cout);
            std::cout << "\nseed " << seed << "\n";
            held = false;
        }
        ++seed;
    } while (held && std::chrono::steady_clock::now() < end);
    std::cout << stepsRun << " steps, " << (held ? "all promises held" : "a promise was broken") << "\n";
    if (arguments.has("mutate"))
        return held ? ExitFailed : ExitOk;
    return held ? ExitOk : ExitFailed;
}
