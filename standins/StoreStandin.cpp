#include "standins/StoreStandin.h"

#include "shell/Json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    std::string encodeBase64(const std::string& text) { return absl::Base64Escape(text); }

    HttpReply jsonReply(unsigned status, const json::object& body)
    {
        HttpReply reply;
        reply.status = status;
        reply.body = json::serialize(body);
        return reply;
    }

    /// @return whether a key lies in [begin, end), or equals begin if end is empty
    bool inRange(const std::string& key, const std::string& begin, const std::string& end)
    {
        return end.empty() ? key == begin : key >= begin && key < end;
    }

} // namespace

StoreStandin::StoreStandin(net::io_context& context)
    : m_context(context)
{
}

Awaitable<void> StoreStandin::onExchange(HttpExchange& exchange)
{
    const std::string path = exchange.path();
    boost::system::error_code error;
    const json::value document = json::parse(exchange.request().body(), error);
    const json::object body = !error && document.is_object() ? document.as_object() : json::object();
    HttpReply reply;
    if (path == "/fault" || path == "/stats") {
        reply = path == "/fault" ? setFaults(body) : stats();
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    if (m_faults.down)
        co_return; // The connection is closed without an answer.
    if (m_faults.slowMs) {
        Timer timer(m_context.get_executor());
        timer.expires_after(std::chrono::milliseconds(m_faults.slowMs));
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
    if (path == "/v3/watch") {
        ++m_watchCalls;
        const json::value* request = body.if_contains("create_request");
        const json::object createRequest = request && request->is_object() ? request->as_object() : json::object();
        co_await watch(exchange, createRequest);
        co_return;
    }
    if (path == "/v3/kv/range") {
        reply = range(body);
    } else if (path == "/v3/kv/txn") {
        if (!consumeWriteQuota()) {
            reply = jsonReply(429, {});
        } else if (m_faults.dropWrites) {
            --m_faults.dropWrites;
            co_return;
        } else {
            reply = txn(body);
            if (m_faults.loseReplies) {
                --m_faults.loseReplies;
                co_return;
            }
        }
    } else {
        reply.status = 404;
    }
    co_await exchange.respond(std::move(reply));
}

bool StoreStandin::consumeWriteQuota()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_writesInWindow = 0;
    }
    if (m_faults.writesPerSecond && m_writesInWindow >= m_faults.writesPerSecond) {
        ++m_refusedWrites;
        return false;
    }
    ++m_writesInWindow;
    return true;
}

HttpReply StoreStandin::range(const json::object& request)
{
    ++m_reads;
    const std::string begin = fromBase64(request, "key");
    const std::string end = fromBase64(request, "range_end");
    json::array entries;
    for (auto next = m_values.lower_bound(begin); next != m_values.end() && inRange(next->first, begin, end); ++next) {
        entries.push_back({ { "key", encodeBase64(next->first) }, { "value", encodeBase64(next->second.value) },
            { "mod_revision", std::to_string(next->second.modRevision) },
            { "create_revision", std::to_string(next->second.createRevision) },
            { "version", std::to_string(next->second.version) } });
    }
    json::object body { { "header", { { "revision", std::to_string(m_revision) } } },
        { "count", std::to_string(entries.size()) } };
    body["kvs"] = std::move(entries);
    return jsonReply(200, body);
}

bool StoreStandin::compareSucceeds(const json::object& compare) const
{
    const auto found = m_values.find(fromBase64(compare, "key"));
    const std::int64_t actual = found == m_values.end() ? 0 : found->second.modRevision;
    return actual == numberOf(compare, "mod_revision");
}

void StoreStandin::erase(const std::string& begin, const std::string& end, std::int64_t revision)
{
    auto next = m_values.lower_bound(begin);
    while (next != m_values.end() && inRange(next->first, begin, end)) {
        m_changes.push_back({ revision, next->first, {}, true });
        next = m_values.erase(next);
    }
}

void StoreStandin::apply(const json::object& operation, std::int64_t revision)
{
    if (const json::value* put = operation.if_contains("request_put")) {
        const std::string key = fromBase64(put->as_object(), "key");
        Value& value = m_values[key];
        value.value = fromBase64(put->as_object(), "value");
        value.modRevision = revision;
        value.createRevision = value.createRevision ? value.createRevision : revision;
        ++value.version;
        m_changes.push_back({ revision, key, value.value, false });
    } else if (const json::value* range = operation.if_contains("request_delete_range")) {
        erase(fromBase64(range->as_object(), "key"), fromBase64(range->as_object(), "range_end"), revision);
    }
}

HttpReply StoreStandin::txn(const json::object& request)
{
    ++m_writes;
    bool succeeded = true;
    if (const json::value* compares = request.if_contains("compare")) {
        for (const json::value& compare : compares->as_array())
            succeeded = succeeded && compareSucceeds(compare.as_object());
    }
    const json::value* operations = request.if_contains(succeeded ? "success" : "failure");
    if (operations && !operations->as_array().empty()) {
        const std::int64_t revision = ++m_revision;
        for (const json::value& operation : operations->as_array())
            apply(operation.as_object(), revision);
        wakeWatchers();
    }
    return jsonReply(200, { { "header", { { "revision", std::to_string(m_revision) } } }, { "succeeded", succeeded } });
}

void StoreStandin::wakeWatchers()
{
    for (const auto& watcher : m_watchers)
        watcher->wakeTimer->cancel();
}

Awaitable<void> StoreStandin::watch(HttpExchange& exchange, const json::object& request)
{
    auto watcher = std::make_shared<Watcher>();
    watcher->begin = fromBase64(request, "key");
    watcher->end = fromBase64(request, "range_end");
    watcher->nextRevision = std::max<std::int64_t>(1, numberOf(request, "start_revision"));
    watcher->wakeTimer = std::make_shared<Timer>(m_context.get_executor());
    m_watchers.push_back(watcher);
    exchange.setOnPeerClosed([watcher] {
        watcher->closed = true;
        watcher->wakeTimer->cancel();
    });
    bool open = co_await exchange.beginStream("application/json");
    while (open && !watcher->closed && !m_faults.down) {
        json::object result { { "header", { { "revision", std::to_string(m_revision) } } } };
        json::array events;
        if (watcher->nextRevision <= m_compactedRevision)
            result["compact_revision"] = std::to_string(m_compactedRevision);
        for (const Change& change : m_changes) {
            if (change.revision < watcher->nextRevision || !inRange(change.key, watcher->begin, watcher->end))
                continue;
            events.push_back({ { "type", change.deleted ? "DELETE" : "PUT" },
                { "kv",
                    { { "key", encodeBase64(change.key) }, { "value", encodeBase64(change.value) },
                        { "mod_revision", std::to_string(change.revision) } } } });
        }
        watcher->nextRevision = m_revision + 1;
        const bool shouldSend = !events.empty() || result.contains("compact_revision");
        result["events"] = std::move(events);
        json::object message;
        message["result"] = std::move(result);
        std::string line = json::serialize(message) + "\n";
        if (shouldSend)
            open = co_await exchange.writeChunk(std::move(line));
        if (watcher->nextRevision > m_revision) {
            watcher->wakeTimer->expires_at(std::chrono::steady_clock::time_point::max());
            co_await watcher->wakeTimer->async_wait(net::as_tuple(useAwaitable));
        }
    }
    m_watchers.remove(watcher);
}

HttpReply StoreStandin::setFaults(const json::object& body)
{
    for (const auto& [key, value] : body) {
        const std::string name(key);
        if (name == "down" && value.is_bool())
            m_faults.down = value.as_bool();
        else if (name == "slowMs" && value.is_int64())
            m_faults.slowMs = value.as_int64();
        else if (name == "loseReplies" && value.is_int64())
            m_faults.loseReplies = static_cast<std::uint64_t>(value.as_int64());
        else if (name == "dropWrites" && value.is_int64())
            m_faults.dropWrites = static_cast<std::uint64_t>(value.as_int64());
        else if (name == "writesPerSecond" && value.is_int64())
            m_faults.writesPerSecond = value.as_int64();
        else if (name == "compact" && value.is_bool()) {
            m_compactedRevision = m_revision;
            m_changes.clear();
        } else
            return jsonReply(400, { { "detail", "unknown fault or wrong value: " + name } });
    }
    wakeWatchers();
    return jsonReply(200, {});
}

HttpReply StoreStandin::stats() const
{
    return jsonReply(200,
        { { "revision", m_revision }, { "reads", m_reads }, { "writes", m_writes }, { "watches", m_watchCalls },
            { "waiting", m_watchers.size() }, { "refused", m_refusedWrites }, { "keys", m_values.size() } });
}

} // namespace crocusmount
