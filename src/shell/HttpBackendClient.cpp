#include "shell/HttpBackendClient.h"

#include "shell/Json.h"
#include "shell/ServiceCall.h"
#include "shell/SseParser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    constexpr std::chrono::milliseconds ProbeTimeout { 500 }; ///< for a whole probe
    constexpr std::size_t FrameBufferBytes = 4096;
    constexpr std::chrono::milliseconds StreamSendTimeout { 2000 }; ///< for sending the request of a stream
    constexpr std::chrono::milliseconds ServiceCallTimeout { 60000 }; ///< for a whole call to a plain service
    constexpr std::uint64_t MaxServiceAnswerBytes = 64U << 20U; ///< longest answer of a plain service

    json::array hopsToJson(const Chain& chain)
    {
        json::array hops;
        for (const Hop& hop : chain.hops()) {
            hops.push_back({ { "backend", hop.backend.value() }, { "address", hop.address },
                { "begin", hop.layers.begin }, { "end", hop.layers.end }, { "generation", hop.generation.value() } });
        }
        return hops;
    }

    HttpCall probeCall(const std::string& address, const char* target)
    {
        HttpCall call;
        call.address = address;
        call.target = target;
        call.timeout = ProbeTimeout;
        return call;
    }

} // namespace

HttpBackendClient::HttpBackendClient(net::io_context& context, std::string owner, Post post)
    : m_context(context)
    , m_attemptPrefix(std::move(owner))
    , m_post(std::move(post))
    , m_client(context, 2 * MaxServiceAnswerBytes)
{
}

std::string HttpBackendClient::wireName(AttemptId attempt) const
{
    return absl::StrCat(m_attemptPrefix, "/", attempt.value());
}

AttemptId HttpBackendClient::attemptFromWireName(std::string_view name) const
{
    std::uint64_t number = 0;
    const bool hasPrefix
        = name.size() > m_attemptPrefix.size() && name.substr(0, m_attemptPrefix.size()) == m_attemptPrefix;
    if (!hasPrefix
        || !absl::SimpleAtoi(
            absl::string_view(name.data() + m_attemptPrefix.size() + 1, name.size() - m_attemptPrefix.size() - 1),
            &number))
        return AttemptId();
    return AttemptId(number);
}

void HttpBackendClient::onStart(const effect::StartAttempt& attempt)
{
    if (attempt.kind == PipelineKind::Service) {
        net::co_spawn(m_context.get_executor(), runServiceCall(attempt), net::detached);
        return;
    }
    auto handle = std::make_shared<HttpClient::Handle>();
    m_runningStreams[attempt.attempt] = handle;
    net::co_spawn(m_context.get_executor(), runStream(attempt, std::move(handle)), net::detached);
}

void HttpBackendClient::onCancel(AttemptId attempt)
{
    const auto found = m_runningStreams.find(attempt);
    if (found == m_runningStreams.end())
        return;
    found->second->cancel();
    m_runningStreams.erase(found);
}

bool HttpBackendClient::handleFrame(AttemptId attempt, std::string_view data, bool& ended)
{
    // There are many small frames, so each is parsed into this buffer instead of the heap.
    std::array<unsigned char, FrameBufferBytes> buffer;
    json::monotonic_resource memory(buffer.data(), buffer.size());
    const json::object frame = parseObject(data, &memory);
    if (flagOf(frame, "end")) {
        ended = true;
        m_post(event::AttemptEnded { attempt, static_cast<std::uint32_t>(countOf(frame, "count")) });
        return true;
    }
    if (const json::value* error = frame.if_contains("error"); error && error->is_object()) {
        ended = true;
        m_post(event::AttemptFailed {
            attempt, Reason::StageFailed, RunState::MayHaveRun, BackendId(textOf(error->as_object(), "culprit")) });
        return false;
    }
    m_post(event::TokenReceived { attempt, attemptFromWireName(textOf(frame, "attempt")),
        static_cast<std::uint32_t>(countOf(frame, "index")), textOf(frame, "text"), textOf(frame, "trace") });
    return true;
}

void HttpBackendClient::postFailure(const effect::StartAttempt& attempt, const HttpAnswer& answer)
{
    const BackendId firstBackend = attempt.chain.hops().front().backend;
    if (answer.phase == CallPhase::NotConnected) {
        m_post(event::AttemptFailed { attempt.attempt, Reason::ConnectFailed, RunState::NotRun, firstBackend });
        return;
    }
    if (answer.status == 0 || answer.status == 200) {
        m_post(event::AttemptFailed { attempt.attempt, Reason::ConnectionLost, RunState::MayHaveRun, firstBackend });
        return;
    }
    const json::object body = parseObject(answer.body);
    const bool notRun = textOf(body, "run") == "not_run";
    const std::string culprit = textOf(body, "culprit");
    m_post(event::AttemptFailed { attempt.attempt, notRun ? Reason::RefusedByBackend : Reason::BackendError,
        notRun ? RunState::NotRun : RunState::MayHaveRun, culprit.empty() ? firstBackend : BackendId(culprit) });
}

Awaitable<void> HttpBackendClient::runStream(effect::StartAttempt attempt, std::shared_ptr<HttpClient::Handle> handle)
{
    json::object body { { "attempt", wireName(attempt.attempt) }, { "prompt", attempt.prompt },
        { "maxTokens", attempt.maxTokens }, { "priority", attempt.priority }, { "hops", hopsToJson(attempt.chain) } };
    json::array emitted;
    for (const std::string& token : attempt.emitted)
        emitted.emplace_back(token);
    body["emitted"] = std::move(emitted);
    HttpCall call;
    call.address = attempt.chain.hops().front().address;
    call.verb = http::verb::post;
    call.target = "/v1/streams";
    call.body = json::serialize(body);
    call.timeout = StreamSendTimeout;
    call.freshConnection = !attempt.repeatable;
    SseParser parser;
    bool ended = false;
    const auto receive = [&](std::string_view bytes) {
        return parser.feed(bytes, [&](std::string_view data) { return handleFrame(attempt.attempt, data, ended); });
    };
    HttpClient::Receive onBytes = receive;
    const HttpAnswer answer
        = co_await m_client.stream(std::move(call), std::chrono::milliseconds(0), std::move(onBytes), handle);
    // onCancel() has removed a cancelled attempt from the map. Its failure is not posted.
    if (!m_runningStreams.erase(attempt.attempt) || ended)
        co_return;
    postFailure(attempt, answer);
}

Awaitable<void> HttpBackendClient::runServiceCall(effect::StartAttempt attempt)
{
    const ServiceCall request = serviceCallFromJson(attempt.prompt);
    HttpCall call;
    call.address = attempt.chain.hops().front().address;
    call.verb = http::string_to_verb(request.method);
    call.target = request.target;
    call.body = request.body;
    call.contentType = request.contentType;
    call.timeout = ServiceCallTimeout;
    call.maxAnswerBytes = MaxServiceAnswerBytes;
    call.freshConnection = !attempt.repeatable;
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    if (answer.phase != CallPhase::Answered) {
        postFailure(attempt, answer);
        co_return;
    }
    // The chain of a plain service has one hop and no layers, so its trace is known without a report by the server.
    m_post(event::TokenReceived { attempt.attempt, attempt.attempt, 0,
        toJson(ServiceAnswer { answer.status, answer.contentType, answer.body, answer.end == BodyEnd::Framed }),
        attempt.chain.trace() });
    m_post(event::AttemptEnded { attempt.attempt, 1 });
}

void HttpBackendClient::onProbe(const effect::ProbeBackend& probe, const BackendServer* service)
{
    // At most one probe per server is in flight, so probes do not pile up at a server that does not respond.
    if (!m_probesInFlight.insert(probe.backend).second)
        return;
    if (service)
        net::co_spawn(
            m_context.get_executor(), runServiceProbe(probe, service->service, service->slots), net::detached);
    else
        net::co_spawn(m_context.get_executor(), runProbe(probe), net::detached);
}

Awaitable<void> HttpBackendClient::runProbe(effect::ProbeBackend probe)
{
    HttpCall call = probeCall(probe.address, "/v1/status");
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    m_probesInFlight.erase(probe.backend);
    const json::object body = parseObject(answer.body);
    const bool usable = answer.status == 200 && textOf(body, "backend") == probe.backend.value();
    if (!usable) {
        m_post(event::BackendUnreachable { probe.backend });
        co_return;
    }
    BackendReport report;
    report.backend = probe.backend;
    report.model = textOf(body, "model");
    report.layers
        = { static_cast<std::uint32_t>(countOf(body, "begin")), static_cast<std::uint32_t>(countOf(body, "end")) };
    report.generation = Generation(countOf(body, "generation"));
    report.slots = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, countOf(body, "slots")));
    report.stepMicros = static_cast<std::int64_t>(countOf(body, "stepMicros"));
    report.running = static_cast<std::uint32_t>(countOf(body, "running"));
    report.leaving = flagOf(body, "leaving");
    m_post(event::BackendReported { std::move(report), probe.asked });
}

Awaitable<void> HttpBackendClient::runServiceProbe(effect::ProbeBackend probe, std::string service, std::uint32_t slots)
{
    HttpCall call = probeCall(probe.address, "/healthz");
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    m_probesInFlight.erase(probe.backend);
    if (answer.status != 200) {
        m_post(event::BackendUnreachable { probe.backend });
        co_return;
    }
    m_post(event::BackendReported {
        BackendReport { probe.backend, service, LayerRange { 0, 1 }, Generation(1), slots, 1000, 0, false },
        probe.asked });
}

} // namespace crocusmount
