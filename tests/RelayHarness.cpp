#include "tests/RelayHarness.h"

#include <cstring>

namespace crocusmount::relay {

namespace {

    Route route(const std::string& name, CallKind kind, const std::string& service)
    {
        Route made;
        made.id = RouteId(name);
        made.host = "h.example";
        made.prefix = "/" + name + "/";
        made.kind = kind;
        made.timeout = std::chrono::seconds(20);
        made.objective = std::chrono::milliseconds(500);
        made.maxAttempts = 2;
        made.split.push_back({ ServiceId(service), 1 });
        return made;
    }

} // namespace

ServiceConfiguration RelayHarness::configuration(std::uint64_t version)
{
    ServiceConfiguration made;
    made.version = version;
    made.routes = { route("draft", CallKind::ResumableStream, "model"), route("once", CallKind::Stream, "model"),
        route("look", CallKind::Idempotent, "plain"), route("book", CallKind::NonIdempotent, "plain") };
    EngineModel model;
    model.model = "m";
    model.layers = 8;
    model.layerMb = 100;
    model.kvBytesPerToken = 8000;
    model.kinds.push_back({ "card", 1000, 1 });
    Service engines { ServiceId("model"), model, "/health" };
    Service plainService { ServiceId("plain"), std::nullopt, "/health" };
    made.services = { engines, plainService };
    made.workspaces.push_back({ WorkspaceId("w"), { "key" }, std::nullopt });
    return made;
}

RegisteredServer RelayHarness::engine(const std::string& id, std::uint32_t begin, std::uint32_t end)
{
    RegisteredServer made = plain(id);
    made.service = ServiceId("model");
    made.accelerator = "card";
    made.layers = { begin, end };
    return made;
}

RegisteredServer RelayHarness::plain(const std::string& id)
{
    RegisteredServer made;
    made.id = BackendId(id);
    made.service = ServiceId("plain");
    made.address = "10.0.0." + std::to_string(id[0]) + ":80";
    made.dataCentre = DataCentreId("z");
    made.slots = 6;
    return made;
}

RelayHarness::RelayHarness(RelayOptions options)
    : m_reducer([&] {
        options.dataCentre = DataCentreId("z");
        return options;
    }())
{
    send(event::ConfigurationAccepted { RouteTable::make(configuration()) });
    for (const auto& server :
        { engine("a", 0, 4), engine("b", 4, 8), engine("c", 0, 4), engine("d", 4, 8), plain("x"), plain("y") })
        send(event::ServerRegistered { server });
}

const RelayEffects& RelayHarness::send(RelayEventBody body)
{
    m_effects.clear();
    m_reducer.reduce({ m_now, m_entropy += 0x9E3779B97F4A7C15ULL, std::move(body) }, m_effects);
    return m_effects;
}

void RelayHarness::tick(Duration span)
{
    m_now += span;
    send(event::Tick {});
}

RequestId RelayHarness::call(const std::string& path, const std::string& key)
{
    const RequestId id(m_nextCall++);
    CallSpec spec;
    spec.host = "h.example";
    spec.path = path;
    spec.key = key;
    spec.callerTimeout = std::chrono::seconds(20);
    spec.promptTokens = 100;
    spec.maxAnswerTokens = 50;
    // Each call has content of its own, so that none counts as the repeat of another one.
    const std::uint64_t number = id.value();
    std::memcpy(spec.content.bytes.data(), &number, sizeof(number));
    send(event::CallArrived { id, spec });
    return id;
}

effect::StartAttempt RelayHarness::running(const std::string& path, std::uint64_t count)
{
    call(path);
    const auto start = last<effect::StartAttempt>();
    send(event::AttemptSent { start->attempt });
    if (count)
        events(start->attempt, 1, count);
    return *start;
}

void RelayHarness::notice(const effect::StartAttempt& start, const ServerNotice& notice)
{
    send(event::ServerNoticeSeen { start.server, start.serverStart, start.startedAt, notice });
}

void RelayHarness::events(AttemptId attempt, std::uint64_t first, std::uint64_t last, Duration gap)
{
    for (std::uint64_t id = first; id <= last; ++id) {
        m_now += gap;
        send(event::EventDelivered { attempt, id });
    }
}

} // namespace crocusmount::relay
