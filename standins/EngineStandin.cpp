#include "standins/EngineStandin.h"

#include "crocusmount/Chain.h"
#include "shell/Json.h"
#include "standins/KnownText.h"

#include <absl/strings/str_cat.h>
#include <cstdlib>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    /// An unused reservation counts as a running attempt for this time.
    constexpr std::chrono::seconds ReservationLifetime { 10 };
    /// Timeout of a call to the next stage.
    constexpr std::chrono::milliseconds StageTimeout { 1500 };

    HttpReply jsonReply(unsigned status, const json::object& body)
    {
        HttpReply reply;
        reply.status = status;
        reply.body = json::serialize(body);
        return reply;
    }

    /// Decrements a count of faults.
    /// @return whether the count was above zero
    bool consumeCount(std::uint64_t& count)
    {
        if (!count)
            return false;
        --count;
        return true;
    }

    std::string makeErrorFrame(const std::string& attempt, const std::string& culprit)
    {
        const json::object frame { { "attempt", attempt },
            { "error", { { "reason", "stage_failed" }, { "culprit", culprit } } } };
        return absl::StrCat("data: ", json::serialize(frame), "\n\n");
    }

    /// @return the refusal of an attempt whose next stage gave no usable answer, as JSON
    std::string unreachableReply(const std::string& culprit)
    {
        return json::serialize(
            json::object { { "run", "not_run" }, { "reason", "stage_unreachable" }, { "culprit", culprit } });
    }

    std::string makeEndFrame(const std::string& attempt, std::uint32_t count)
    {
        const json::object frame { { "attempt", attempt }, { "end", true }, { "count", count } };
        return absl::StrCat("data: ", json::serialize(frame), "\n\n");
    }

    const json::object& hopAt(const json::array& hops, std::uint32_t index) { return hops.at(index).as_object(); }

    /// @return a request to the stage of a hop
    HttpCall makeCall(const json::object& hop, const char* target, const json::object& body)
    {
        HttpCall call;
        call.address = textOf(hop, "address");
        call.verb = http::verb::post;
        call.target = target;
        call.body = json::serialize(body);
        call.timeout = StageTimeout;
        return call;
    }

} // namespace

EngineStandin::EngineStandin(net::io_context& context, BackendReport report, bool checksFence)
    : m_context(context)
    , m_client(context)
    , m_report(std::move(report))
    , m_checksFence(checksFence)
{
}

Awaitable<void> EngineStandin::onExchange(HttpExchange& exchange)
{
    const std::string path = exchange.path();
    HttpReply reply;
    if (path == "/v1/streams") {
        co_await runStream(exchange);
        co_return;
    }
    if (path == "/v1/forward") {
        co_await forward(exchange);
        co_return;
    }
    const json::object body = parseObject(exchange.request().body());
    if (path == "/v1/prepare" || path == "/v1/finish") {
        const json::value* hops = body.if_contains("hops");
        json::array copy = hops && hops->is_array() ? hops->as_array() : json::array();
        std::string attempt = textOf(body, "attempt");
        const auto hop = static_cast<std::uint32_t>(numberOf(body, "hop"));
        if (path == "/v1/prepare") {
            std::string refusal = co_await prepare(std::move(attempt), std::move(copy), hop);
            reply.status = refusal.empty() ? 200 : 409;
            reply.body = refusal.empty() ? "{}" : refusal;
        } else {
            co_await finish(std::move(attempt), std::move(copy), hop);
            reply.body = "{}";
        }
    } else if (path == "/v1/status") {
        if (m_faults.statusLagMs)
            co_await sleep(std::chrono::milliseconds(m_faults.statusLagMs));
        reply = status();
    } else if (path == "/v1/orders") {
        reply = order(body);
    } else if (path == "/fault") {
        reply = setFaults(body);
    } else if (path == "/v1/ledger") {
        reply = ledger();
    } else {
        reply.status = 404;
        reply.body = "{}";
    }
    co_await exchange.respond(std::move(reply));
}

Awaitable<void> EngineStandin::sleep(std::chrono::microseconds span)
{
    Timer timer(m_context.get_executor());
    timer.expires_after(span);
    co_await timer.async_wait(net::as_tuple(useAwaitable));
}

Awaitable<void> EngineStandin::useSlot()
{
    if (m_busySlots >= m_report.slots) {
        auto slotWait = std::make_shared<Timer>(m_context.get_executor());
        slotWait->expires_at(std::chrono::steady_clock::time_point::max());
        m_slotWaiters.push_back(slotWait);
        co_await slotWait->async_wait(net::as_tuple(useAwaitable));
    } else {
        ++m_busySlots;
    }
    const double micros = static_cast<double>(m_report.stepMicros) * m_faults.slowFactor;
    co_await sleep(std::chrono::microseconds(static_cast<std::int64_t>(micros)));
    if (m_slotWaiters.empty()) {
        --m_busySlots;
        co_return;
    }
    // The slot stays busy and passes to the step that has waited longest.
    m_slotWaiters.front()->cancel();
    m_slotWaiters.pop_front();
}

std::string EngineStandin::checkHop(const json::object& hop)
{
    const auto refusal = [&](const char* reason) {
        return json::serialize(
            json::object { { "run", "not_run" }, { "reason", reason }, { "culprit", m_report.backend.value() } });
    };
    const bool hasRightRange
        = numberOf(hop, "begin") == m_report.layers.begin && numberOf(hop, "end") == m_report.layers.end;
    if (textOf(hop, "backend") != m_report.backend.value())
        return refusal("not_this_backend");
    if (!hasRightRange || numberOf(hop, "generation") != static_cast<std::int64_t>(m_report.generation.value()))
        return refusal("other_holding");
    if (m_report.leaving)
        return refusal("leaving");
    if (consumeCount(m_faults.refuse))
        return refusal("busy");
    return {};
}

Awaitable<std::string> EngineStandin::prepare(std::string attempt, json::array hops, std::uint32_t hop)
{
    std::string refusal = hop < hops.size() ? checkHop(hopAt(hops, hop)) : R"({"run":"not_run","reason":"no_hop"})";
    if (!refusal.empty())
        co_return refusal;
    if (hop + 1 < hops.size()) {
        json::object body { { "attempt", attempt }, { "hop", hop + 1 } };
        body["hops"] = hops;
        HttpCall call = makeCall(hopAt(hops, hop + 1), "/v1/prepare", body);
        const HttpAnswer answer = co_await m_client.call(std::move(call));
        if (answer.status != 200) {
            // No stage runs the attempt before all stages have agreed, so the refusal is "not run" whatever the outcome
            // of the call.
            refusal = answer.status == 409 ? answer.body : unreachableReply(textOf(hopAt(hops, hop + 1), "backend"));
            co_return refusal;
        }
    }
    m_reservations[attempt] = std::chrono::steady_clock::now();
    co_return std::string();
}

Awaitable<void> EngineStandin::finish(std::string attempt, json::array hops, std::uint32_t hop)
{
    m_reservations.erase(attempt);
    if (hop + 1 >= hops.size())
        co_return;
    json::object body { { "attempt", attempt }, { "hop", hop + 1 } };
    body["hops"] = hops;
    HttpCall call = makeCall(hopAt(hops, hop + 1), "/v1/finish", body);
    co_await m_client.call(std::move(call));
}

Awaitable<EngineStandin::Step> EngineStandin::runStep(
    std::shared_ptr<Stream> stream, std::uint32_t index, std::uint32_t hop)
{
    m_reservations[stream->attempt] = std::chrono::steady_clock::now();
    co_await useSlot();
    const std::string entry = formatTraceEntry(m_report.backend, m_report.layers, m_report.generation);
    Step step;
    if (hop + 1 >= stream->hops.size()) {
        step.ok = true;
        step.text = knownToken(stream->prompt, index);
        step.trace = entry;
        co_return step;
    }
    if (m_faults.linkDelayMs)
        co_await sleep(std::chrono::milliseconds(m_faults.linkDelayMs));
    json::object body { { "attempt", stream->attempt }, { "prompt", stream->prompt }, { "index", index },
        { "hop", hop + 1 } };
    body["hops"] = stream->hops;
    HttpCall call = makeCall(hopAt(stream->hops, hop + 1), "/v1/forward", body);
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    const json::object reply = parseObject(answer.body);
    if (answer.status != 200) {
        const std::string reportedCulprit = textOf(reply, "culprit");
        step.culprit = reportedCulprit.empty() ? textOf(hopAt(stream->hops, hop + 1), "backend") : reportedCulprit;
        co_return step;
    }
    step.ok = true;
    step.text = textOf(reply, "text");
    step.trace = absl::StrCat(entry, ",", textOf(reply, "trace"));
    co_return step;
}

Awaitable<void> EngineStandin::forward(HttpExchange& exchange)
{
    const json::object body = parseObject(exchange.request().body());
    auto stream = std::make_shared<Stream>();
    stream->attempt = textOf(body, "attempt");
    stream->prompt = textOf(body, "prompt");
    const json::value* hops = body.if_contains("hops");
    stream->hops = hops && hops->is_array() ? hops->as_array() : json::array();
    const auto hop = static_cast<std::uint32_t>(numberOf(body, "hop"));
    HttpReply reply;
    const std::string refusal = hop < stream->hops.size() && m_reservations.contains(stream->attempt)
        ? std::string()
        : "{\"run\":\"not_run\"}";
    if (!refusal.empty()) {
        reply.status = 409;
        reply.body
            = json::serialize(json::object { { "reason", "no_place" }, { "culprit", m_report.backend.value() } });
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const Step step = co_await runStep(stream, static_cast<std::uint32_t>(numberOf(body, "index")), hop);
    if (step.ok)
        reply = jsonReply(200, { { "text", step.text }, { "trace", step.trace } });
    else
        reply = jsonReply(502, { { "reason", "stage_failed" }, { "culprit", step.culprit } });
    co_await exchange.respond(std::move(reply));
}

std::string EngineStandin::makeTokenFrame(const Stream& stream, std::uint32_t index, const Step& step)
{
    json::object frame { { "attempt", stream.attempt }, { "index", index }, { "text", step.text },
        { "trace", step.trace } };
    if (consumeCount(m_faults.wrongTrace))
        frame["trace"] = absl::StrCat(step.trace, "x");
    std::string text = absl::StrCat("data: ", json::serialize(frame), "\n\n");
    if (consumeCount(m_faults.duplicate))
        text += text;
    if (consumeCount(m_faults.cross)) {
        frame["attempt"] = stream.attempt + "9";
        frame["text"] = "crossed ";
        text = absl::StrCat("data: ", json::serialize(frame), "\n\n", text);
    }
    if (consumeCount(m_faults.gap))
        text.clear();
    return text;
}

Awaitable<void> EngineStandin::sendTokens(HttpExchange& exchange, std::shared_ptr<Stream> stream)
{
    for (std::uint32_t index = stream->nextIndex; index < stream->maxTokens && !stream->cancelled; ++index) {
        const Step step = co_await runStep(stream, index, 0);
        if (stream->cancelled)
            co_return;
        if (!step.ok) {
            std::string frame = makeErrorFrame(stream->attempt, step.culprit);
            co_await exchange.writeChunk(std::move(frame));
            co_return;
        }
        ++m_tokensComputed;
        if (m_faults.dieAfterTokens && m_tokensComputed >= m_faults.dieAfterTokens)
            std::_Exit(1);
        std::string frame = makeTokenFrame(*stream, index, step);
        const bool dies = m_faults.dieInToken && m_tokensComputed >= m_faults.dieInToken;
        const bool isCut = dies || consumeCount(m_faults.cutFrame);
        if (isCut)
            frame.resize(frame.size() / 2);
        const bool wasWritten = co_await exchange.writeChunk(std::move(frame));
        if (dies)
            std::_Exit(1);
        if (isCut || !wasWritten)
            co_return;
        if (consumeCount(m_faults.truncate))
            co_return;
    }
    if (stream->cancelled)
        co_return;
    std::string frame = makeEndFrame(stream->attempt, stream->maxTokens);
    co_await exchange.writeChunk(std::move(frame));
}

Awaitable<void> EngineStandin::runStream(HttpExchange& exchange)
{
    const json::object body = parseObject(exchange.request().body());
    auto stream = std::make_shared<Stream>();
    stream->attempt = textOf(body, "attempt");
    stream->prompt = textOf(body, "prompt");
    stream->maxTokens = static_cast<std::uint32_t>(numberOf(body, "maxTokens"));
    const json::value* hops = body.if_contains("hops");
    stream->hops = hops && hops->is_array() ? hops->as_array() : json::array();
    const json::value* emitted = body.if_contains("emitted");
    stream->nextIndex = emitted && emitted->is_array() ? static_cast<std::uint32_t>(emitted->as_array().size()) : 0;
    exchange.setOnPeerClosed([stream] { stream->cancelled = true; });
    const std::string refusal = co_await prepare(stream->attempt, stream->hops, 0);
    if (!refusal.empty()) {
        HttpReply reply;
        reply.status = 409;
        reply.body = refusal;
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    if (!stream->cancelled) {
        ++m_runsByPrompt[stream->prompt];
        if (co_await exchange.beginStream("text/event-stream"))
            co_await sendTokens(exchange, stream);
    }
    co_await finish(stream->attempt, stream->hops, 0);
    co_await exchange.endStream();
}

HttpReply EngineStandin::status() const
{
    const auto now = std::chrono::steady_clock::now();
    std::int64_t running = 0;
    for (const auto& [attempt, lastUsed] : m_reservations)
        running += now - lastUsed < ReservationLifetime ? 1 : 0;
    return jsonReply(200,
        { { "backend", m_report.backend.value() }, { "model", m_report.model }, { "begin", m_report.layers.begin },
            { "end", m_report.layers.end }, { "generation", m_report.generation.value() }, { "slots", m_report.slots },
            { "stepMicros", m_report.stepMicros }, { "running", running }, { "leaving", m_report.leaving },
            { "tokens", m_tokensComputed } });
}

HttpReply EngineStandin::order(const json::object& body)
{
    const std::int64_t fence = numberOf(body, "fence");
    if (m_checksFence && fence < m_highestFence)
        return jsonReply(409, { { "run", "not_run" }, { "reason", "old_fence" }, { "fence", m_highestFence } });
    m_highestFence = std::max(m_highestFence, fence);
    m_report.layers
        = { static_cast<std::uint32_t>(numberOf(body, "begin")), static_cast<std::uint32_t>(numberOf(body, "end")) };
    m_report.generation = Generation(m_report.generation.value() + 1);
    return jsonReply(200, { { "generation", m_report.generation.value() } });
}

HttpReply EngineStandin::setFaults(const json::object& body)
{
    for (const auto& [key, value] : body) {
        const std::string name(key);
        if (name == "die")
            std::_Exit(1);
        if (name == "leaving" && value.is_bool())
            m_report.leaving = value.as_bool();
        else if (name == "generation" && value.is_int64())
            m_report.generation = Generation(static_cast<std::uint64_t>(value.as_int64()));
        else if (name == "slowFactor" && value.is_number())
            m_faults.slowFactor = value.to_number<double>();
        else if (name == "linkDelayMs" && value.is_int64())
            m_faults.linkDelayMs = value.as_int64();
        else if (name == "statusLagMs" && value.is_int64())
            m_faults.statusLagMs = value.as_int64();
        else {
            const std::map<std::string, std::uint64_t*> counts { { "refuse", &m_faults.refuse },
                { "wrongTrace", &m_faults.wrongTrace }, { "truncate", &m_faults.truncate },
                { "cutFrame", &m_faults.cutFrame }, { "dieInToken", &m_faults.dieInToken },
                { "duplicate", &m_faults.duplicate }, { "cross", &m_faults.cross }, { "gap", &m_faults.gap },
                { "dieAfterTokens", &m_faults.dieAfterTokens } };
            const auto found = counts.find(name);
            if (found == counts.end() || !value.is_int64() || value.as_int64() < 0)
                return jsonReply(400, { { "detail", "unknown fault or wrong value: " + name } });
            *found->second = static_cast<std::uint64_t>(value.as_int64());
        }
    }
    return jsonReply(200, {});
}

HttpReply EngineStandin::ledger() const
{
    json::object prompts;
    for (const auto& [prompt, count] : m_runsByPrompt)
        prompts[prompt] = count;
    json::object body;
    body["prompts"] = std::move(prompts);
    return jsonReply(200, body);
}

} // namespace crocusmount
