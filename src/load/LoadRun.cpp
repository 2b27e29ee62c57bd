#include "load/LoadRun.h"

#include "shell/Json.h"
#include "shell/SseParser.h"
#include "standins/KnownText.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <cmath>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    constexpr std::chrono::milliseconds AnswerIdleTimeout { 70000 }; ///< longest wait for the next part of an answer
    constexpr std::chrono::milliseconds RetryDelay { 100 };

    /// @return a random number in [0, 1), reproducible from the seed
    double uniformFraction(pcg64& random)
    {
        return static_cast<double>(random() >> 11) / static_cast<double>(1ULL << 53);
    }

    Awaitable<void> sleepUntil(std::chrono::steady_clock::time_point time)
    {
        Timer timer(co_await net::this_coro::executor);
        timer.expires_at(time);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }

} // namespace

LoadRun::LoadRun(net::io_context& context, Experiment experiment)
    : m_context(context)
    , m_experiment(std::move(experiment))
    , m_client(context)
    , m_random(m_experiment.seed)
    , m_start(std::chrono::steady_clock::now())
{
}

double LoadRun::elapsedMs() const
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - m_start).count();
}

template <typename List>
const typename List::value_type& LoadRun::pickByShare(const List& list)
{
    double sum = 0;
    for (const auto& each : list)
        sum += each.share;
    double remainingShare = uniformFraction(m_random) * sum;
    for (const auto& each : list) {
        remainingShare -= each.share;
        if (remainingShare < 0)
            return each;
    }
    return list.back();
}

Awaitable<void> LoadRun::run()
{
    m_start = std::chrono::steady_clock::now();
    net::co_spawn(m_context.get_executor(), injectFaults(), net::detached);
    double atSeconds = 0;
    std::uint64_t number = 0;
    for (;;) {
        atSeconds += -std::log(1 - uniformFraction(m_random)) / m_experiment.requestsPerSecond;
        if (atSeconds >= m_experiment.seconds)
            break;
        const auto& caller = pickByShare(m_experiment.workspaces);
        const auto& kind = pickByShare(m_experiment.mix);
        auto record = std::make_unique<LoadRecord>();
        record->pipeline = kind.pipeline;
        record->prompt = absl::StrCat(m_experiment.name, "-", m_experiment.seed, "-", ++number);
        record->once = kind.once;
        const std::uint32_t lengthChoices = kind.mostTokens - kind.leastTokens + 1;
        record->wantedTokens = kind.leastTokens + static_cast<std::uint32_t>(uniformFraction(m_random) * lengthChoices);
        co_await sleepUntil(m_start + std::chrono::microseconds(static_cast<std::int64_t>(atSeconds * 1e6)));
        ++m_runningRequests;
        net::co_spawn(m_context.get_executor(), sendOne(*record, caller, kind), net::detached);
        m_records.push_back(std::move(record));
    }
    while (m_runningRequests)
        co_await sleepUntil(std::chrono::steady_clock::now() + std::chrono::milliseconds(20));
    co_await readLedgers();
}

Awaitable<std::vector<std::string>> LoadRun::entriesFor(const Experiment::Caller& caller)
{
    EntryList& cachedList = m_entries[caller.id];
    if (!cachedList.addresses.empty() && std::chrono::steady_clock::now() < cachedList.validUntil)
        co_return cachedList.addresses;
    std::vector<std::string> candidates = cachedList.addresses;
    // Callers start at different instances, so that the first calls are distributed over all.
    const auto& entries = m_experiment.entries;
    const std::size_t first = std::hash<std::string>()(caller.id) % entries.size();
    candidates.insert(candidates.end(), entries.begin() + static_cast<std::ptrdiff_t>(first), entries.end());
    candidates.insert(candidates.end(), entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(first));
    for (const std::string& address : candidates) {
        HttpCall call;
        call.address = address;
        call.target = "/v1/entries";
        call.headers.emplace_back("Authorization", "Bearer " + caller.token);
        const HttpAnswer answer = co_await m_client.call(std::move(call));
        const json::object body = parseObject(answer.body);
        const json::value* entries = body.if_contains("entries");
        if (answer.status != 200 || !entries)
            continue;
        EntryList newList;
        for (const json::value& entry : entries->as_array())
            newList.addresses.push_back(textOf(entry.as_object(), "address"));
        newList.validUntil
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(body.at("lifetimeMs").as_int64());
        if (!newList.addresses.empty()) {
            m_entries[caller.id] = newList;
            co_return newList.addresses;
        }
    }
    co_return m_experiment.entries;
}

Awaitable<void> LoadRun::sendOne(LoadRecord& record, const Experiment::Caller& caller, const Experiment::Kind& kind)
{
    record.startMs = elapsedMs();
    const std::vector<std::string> entries = co_await entriesFor(caller);
    for (std::uint32_t i = 0; i < m_experiment.tries; ++i) {
        ++record.tries;
        if (co_await attempt(record, entries[i % entries.size()], caller, kind))
            break;
        co_await sleepUntil(std::chrono::steady_clock::now() + RetryDelay);
    }
    record.endMs = elapsedMs();
    --m_runningRequests;
}

void LoadRun::checkAnswer(LoadRecord& record, const std::string& text, bool hasEnded)
{
    const bool isExpectedText = text == knownText(record.prompt, record.wantedTokens);
    record.outcome = hasEnded && isExpectedText ? "complete" : "wrong";
}

Awaitable<bool> LoadRun::attempt(
    LoadRecord& record, const std::string& address, const Experiment::Caller& caller, const Experiment::Kind& kind)
{
    json::object body { { "model", kind.pipeline }, { "prompt", record.prompt }, { "max_tokens", record.wantedTokens },
        { "stream", kind.stream } };
    HttpCall call;
    call.address = address;
    call.verb = http::verb::post;
    call.target = "/v1/completions";
    call.body = json::serialize(body);
    call.freshConnection = kind.once;
    call.headers.emplace_back("Authorization", "Bearer " + caller.token);
    call.headers.emplace_back("Idempotency-Key", record.prompt);
    if (kind.once)
        call.headers.emplace_back("X-Crocusmount-Idempotent", "false");
    if (kind.deadlineMs)
        call.headers.emplace_back("X-Crocusmount-Deadline-Ms", std::to_string(kind.deadlineMs));
    std::string text;
    std::string unstreamedBody;
    bool hasEnded = false;
    json::object error;
    record.tokens = 0;
    record.tokenMs.clear();
    SseParser parser;
    const auto onData = [&](std::string_view data) {
        if (data == "[DONE]") {
            hasEnded = true;
            return true;
        }
        const json::object frame = parseObject(data);
        if (const json::value* found = frame.if_contains("error")) {
            error = found->as_object();
            return true;
        }
        text += textOf(frame.at("choices").as_array().at(0).as_object(), "text");
        record.tokenMs.push_back(elapsedMs());
        if (!record.tokens++)
            record.firstTokenMs = record.tokenMs.back() - record.startMs;
        return true;
    };
    const auto receive = [&](std::string_view bytes) {
        if (kind.stream)
            return parser.feed(bytes, onData);
        unstreamedBody.append(bytes);
        return true;
    };
    HttpClient::Receive onBytes = receive;
    const HttpAnswer answer = co_await m_client.stream(std::move(call), AnswerIdleTimeout, std::move(onBytes), nullptr);
    const json::object reply = kind.stream ? json::object() : parseObject(unstreamedBody);
    hasEnded = hasEnded || !reply.empty();
    // The end of a connection may have cut the answer off.
    const bool isCut = !hasEnded && answer.end == BodyEnd::ConnectionClosed;
    if (answer.phase == CallPhase::Answered && answer.status == 200 && error.empty() && !isCut) {
        if (!reply.empty()) {
            text = textOf(reply.at("choices").as_array().at(0).as_object(), "text");
            record.tokens = static_cast<std::uint32_t>(reply.at("usage").at("completion_tokens").as_int64());
            record.firstTokenMs = elapsedMs() - record.startMs;
        }
        checkAnswer(record, text, hasEnded);
        co_return true;
    }
    const json::object problem = error.empty() ? parseObject(answer.body) : error;
    record.outcome = textOf(problem, "reason");
    record.run = textOf(problem, "run");
    if (record.outcome.empty()) {
        // The connection broke before a final answer. A retry is safe because it sends an equal idempotency key.
        record.outcome = "lost";
        record.run = answer.phase == CallPhase::NotConnected ? "not_run" : "may_have_run";
        co_return false;
    }
    const bool isInstanceUnavailable
        = record.outcome == "draining" || record.outcome == "isolated" || record.outcome == "not_ready";
    co_return !isInstanceUnavailable;
}

Awaitable<void> LoadRun::injectFaults()
{
    for (const Experiment::Fault& fault : m_experiment.faults) {
        co_await sleepUntil(m_start + std::chrono::milliseconds(fault.atMs));
        HttpCall call;
        call.address = fault.address;
        call.verb = http::verb::post;
        call.target = "/fault";
        call.body = fault.body;
        co_await m_client.call(std::move(call));
    }
}

Awaitable<void> LoadRun::readLedgers()
{
    for (const std::string& address : m_experiment.ledgers) {
        HttpCall call;
        call.address = address;
        call.target = "/v1/ledger";
        const HttpAnswer answer = co_await m_client.call(std::move(call));
        const json::object body = parseObject(answer.body);
        const json::value* prompts = body.if_contains("prompts");
        if (!prompts)
            continue;
        for (const auto& [prompt, count] : prompts->as_object())
            m_ledger[std::string(prompt)] += static_cast<std::uint64_t>(count.as_int64());
    }
}

} // namespace crocusmount
