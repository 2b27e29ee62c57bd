#include "shell/EtcdStoreClient.h"

#include "shell/Json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    /// Longest answer, which may hold the whole store, and longest report of changes.
    constexpr std::uint64_t MaxStoreBytes = 64U << 20U;
    constexpr std::chrono::milliseconds CallTimeout { 1500 };
    /// A watch without data ends after this time, and the caller starts a new one.
    constexpr std::chrono::milliseconds WatchIdleTimeout { 30000 };

    std::string toBase64(const std::string& text) { return absl::Base64Escape(text); }

    StoreEntry parseEntry(const json::object& object)
    {
        return { fromBase64(object, "key"), fromBase64(object, "value"), numberOf(object, "mod_revision") };
    }

    std::int64_t headerRevision(const json::object& object)
    {
        const json::object* header = objectOf(object, "header");
        return header ? numberOf(*header, "revision") : 0;
    }

    json::object requestPut(const std::string& key, const std::string& value)
    {
        return { { "request_put", { { "key", toBase64(key) }, { "value", toBase64(value) } } } };
    }

    json::object requestDelete(const std::string& key, const std::string& end)
    {
        json::object range { { "key", toBase64(key) } };
        if (!end.empty())
            range["range_end"] = toBase64(end);
        return { { "request_delete_range", std::move(range) } };
    }

    /// @return the body of a txn call that compares the revision of the guard key
    json::object makeTxnBody(const StoreWrite& write)
    {
        json::array success;
        for (const auto& [key, value] : write.puts)
            success.push_back(requestPut(key, value));
        for (const std::string& key : write.deletes)
            success.push_back(requestDelete(key, {}));
        for (const auto& [begin, end] : write.deleteRanges)
            success.push_back(requestDelete(begin, end));
        json::object compare { { "key", toBase64(write.guardKey) }, { "target", "MOD" }, { "result", "EQUAL" },
            { "mod_revision", std::to_string(write.expectedModRevision) } };
        json::object txn;
        txn["compare"] = json::array { std::move(compare) };
        txn["success"] = std::move(success);
        return txn;
    }

    /// Decodes one result of a watch stream.
    StoreWatchBatch parseBatch(const json::object& result)
    {
        StoreWatchBatch batch;
        batch.revision = headerRevision(result);
        const json::value* events = result.if_contains("events");
        if (!events || !events->is_array())
            return batch;
        for (const json::value& each : events->as_array()) {
            const json::object* event = each.if_object();
            const json::object* entry = event ? objectOf(*event, "kv") : nullptr;
            if (!entry)
                continue;
            const json::value* type = event->if_contains("type");
            batch.events.push_back({ parseEntry(*entry), type && type->is_string() && type->as_string() == "DELETE" });
        }
        return batch;
    }

} // namespace

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (!prefix.empty())
        ++prefix.back();
    return prefix;
}

EtcdStoreClient::EtcdStoreClient(net::io_context& context, std::vector<std::string> addresses)
    : m_client(context)
    , m_addresses(std::move(addresses))
{
}

HttpCall EtcdStoreClient::makeCall(std::string target, std::string body) const
{
    HttpCall call;
    call.address = m_addresses[m_currentAddress];
    call.verb = http::verb::post;
    call.target = std::move(target);
    call.body = std::move(body);
    call.timeout = CallTimeout;
    call.maxAnswerBytes = MaxStoreBytes;
    return call;
}

Awaitable<absl::StatusOr<StoreRange>> EtcdStoreClient::onRange(std::string begin, std::string end)
{
    const json::object body { { "key", toBase64(begin) }, { "range_end", toBase64(end) } };
    HttpCall call = makeCall("/v3/kv/range", json::serialize(body));
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    if (answer.status != 200) {
        useNextAddress();
        co_return absl::UnavailableError(absl::StrCat("range: ", answer.status, " ", answer.error));
    }
    const json::object reply = parseObject(answer.body);
    // The body of an answer without a length ends with its connection, also if the service's process ends.
    StoreRange range { headerRevision(reply), {} };
    bool isWhole = range.revision > 0;
    for (const json::value& each : listOf(reply, "kvs")) {
        const json::object* entry = each.if_object();
        isWhole = isWhole && entry;
        if (entry)
            range.entries.push_back(parseEntry(*entry));
    }
    if (!isWhole)
        co_return absl::UnavailableError("range: the answer is cut off or cannot be read");
    co_return range;
}

Awaitable<StoreWriteResult> EtcdStoreClient::onWrite(StoreWrite write)
{
    HttpCall call = makeCall("/v3/kv/txn", json::serialize(makeTxnBody(write)));
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    StoreWriteResult result;
    if (answer.phase == CallPhase::NotConnected) {
        useNextAddress();
        co_return result;
    }
    const json::object reply = parseObject(answer.body);
    if (answer.status == 200 && !reply.empty()) {
        const json::value* succeeded = reply.if_contains("succeeded");
        const bool committed = succeeded && succeeded->is_bool() && succeeded->as_bool();
        result.outcome = committed ? WriteOutcome::Committed : WriteOutcome::Conflict;
        result.revision = headerRevision(reply);
        co_return result;
    }
    // Status 429: the service rejected the write because of the call rate and did not process it. For any other
    // status, or without a response, the outcome is unknown.
    result.outcome = answer.status == 429 ? WriteOutcome::NotSent : WriteOutcome::Unknown;
    if (answer.phase != CallPhase::Answered)
        useNextAddress();
    co_return result;
}

Awaitable<absl::Status> EtcdStoreClient::onWatch(
    std::string begin, std::string end, std::int64_t fromRevision, OnWatch onWatch)
{
    const json::object body { { "create_request",
        { { "key", toBase64(begin) }, { "range_end", toBase64(end) },
            { "start_revision", std::to_string(fromRevision) } } } };
    HttpCall call = makeCall("/v3/watch", json::serialize(body));
    std::string pending;
    bool compacted = false;
    const auto receive = [&](std::string_view bytes) {
        const std::size_t unsearched = pending.size(); // What came before has no line end.
        pending.append(bytes);
        for (auto newline = pending.find('\n', unsearched); newline != std::string::npos;
             newline = pending.find('\n')) {
            const json::object message = parseObject(pending.substr(0, newline));
            pending.erase(0, newline + 1);
            const json::object* result = objectOf(message, "result");
            if (!result)
                continue;
            if (numberOf(*result, "compact_revision") > 0) {
                compacted = true;
                return false;
            }
            if (!onWatch(parseBatch(*result)))
                return false;
        }
        return pending.size() <= MaxStoreBytes;
    };
    HttpClient::Receive onBytes = receive;
    const HttpAnswer answer = co_await m_client.stream(std::move(call), WatchIdleTimeout, std::move(onBytes), nullptr);
    if (compacted)
        co_return absl::OutOfRangeError("compacted");
    if (answer.phase == CallPhase::NotConnected)
        useNextAddress();
    co_return absl::UnavailableError(absl::StrCat("watch ended: ", answer.status, " ", answer.error));
}

} // namespace crocusmount
