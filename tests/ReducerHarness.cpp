#include "tests/ReducerHarness.h"

namespace crocusmount {

ReducerOptions ReducerHarness::defaultOptions()
{
    ReducerOptions options;
    options.self
        = { InstanceId("e1"), "10.0.0.1:1", "10.0.0.1:2", DataCentreId("dc1"), 1, MemberState::Alive, Revision() };
    options.claimShards = 1;
    return options;
}

ReducerHarness::ReducerHarness(const ReducerOptions& options) { m_reducer = *Reducer::make(options); }

void ReducerHarness::configure()
{
    ConfigurationChange change { Revision(), Revision(1), {} };
    const auto add = [&](const char* key, const char* value) { change.entries.push_back({ key, value, Revision(1) }); };
    add("workspaces/w", "{}");
    add("workspaces/v", R"({"labels":{"tier":"gold"}})");
    add("pipelines/p", R"({"model":"m","layers":4,"maxTokens":100})");
    add("pipelines/gold", R"({"model":"m","layers":4,"workspaceSelector":{"tier":"gold"}})");
    for (const char* id : { "a1", "a2", "b1", "b2" }) {
        change.entries.push_back({ std::string("backends/") + id,
            R"({"address":"10.0.1.1:1","dataCentre":"dc1","labels":{"tier":"x"}})", Revision(1) });
    }
    send(event::ConfigurationRead { change, true });
}

void ReducerHarness::report(
    const std::string& backend, std::uint32_t begin, std::uint32_t end, std::uint64_t generation)
{
    BackendReport report;
    report.backend = BackendId(backend);
    report.model = "m";
    report.layers = { begin, end };
    report.generation = Generation(generation);
    report.slots = 4;
    send(event::BackendReported { report, m_now });
}

void ReducerHarness::reportAll()
{
    report("a1", 0, 2);
    report("a2", 0, 2);
    report("b1", 2, 4);
    report("b2", 2, 4);
}

const Effects& ReducerHarness::send(EventBody body)
{
    m_effects.clear();
    m_entropy = m_entropy * 6364136223846793005ULL + 1442695040888963407ULL;
    m_reducer->reduce(Event { m_now, m_entropy, std::move(body) }, m_effects);
    return m_effects;
}

const Effects& ReducerHarness::tick(Duration span)
{
    m_now += span;
    return send(event::Tick {});
}

RequestId ReducerHarness::request(RequestSpec spec)
{
    const RequestId id(m_nextRequest++);
    send(event::RequestArrived { id, std::move(spec) });
    return id;
}

RequestSpec ReducerHarness::spec(std::uint32_t tokens)
{
    RequestSpec spec;
    spec.workspace = WorkspaceId("w");
    spec.pipeline = PipelineId("p");
    spec.prompt = "prompt";
    spec.maxTokens = tokens;
    return spec;
}

RequestSpec ReducerHarness::nonRepeatableSpec(const std::string& key)
{
    RequestSpec once = spec();
    once.repeatable = false;
    once.idempotencyKey = key;
    return once;
}

const Effects& ReducerHarness::token(const effect::StartAttempt& attempt, std::uint32_t index)
{
    m_now += std::chrono::milliseconds(1);
    return send(event::TokenReceived {
        attempt.attempt, attempt.attempt, index, "t" + std::to_string(index), attempt.chain.trace() });
}

std::uint64_t ReducerHarness::refused(Reason reason) const
{
    return m_reducer->counters().refused[static_cast<std::size_t>(reason)];
}

std::uint64_t ReducerHarness::retried(Reason reason) const
{
    return m_reducer->counters().retried[static_cast<std::size_t>(reason)];
}

std::uint64_t ReducerHarness::dropped(Reason reason) const
{
    return m_reducer->counters().dropped[static_cast<std::size_t>(reason)];
}

} // namespace crocusmount
