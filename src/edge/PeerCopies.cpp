#include "edge/PeerCopies.h"

#include "edge/DecisionLog.h"
#include "edge/InstanceRegistry.h"
#include "edge/PeerDatagram.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <utility>

namespace crocusmount {

namespace {

    constexpr const char* CopyPath = "/store-copy";
    /// A copy with 400 routes and 100 engines has about 150 KB, which a healthy peer sends within 50 ms.
    constexpr std::chrono::milliseconds RequestTimeout { 400 };
    constexpr std::uint64_t MaxCopyBytes = 16U << 20U;
    constexpr unsigned Ok = 200;
    constexpr unsigned NoContent = 204; ///< the copy is not newer than the requested revision
    constexpr unsigned NotFound = 404;
    constexpr unsigned Unavailable = 503; ///< the copy of the asked instance is not current

    /// Encodes a copy like a datagram, as the changes after revision 0.
    std::string encodeCopy(const StoreMirror::Copy& copy)
    {
        StoreMirror::Changes changes { 0, { copy.range.revision, {} } };
        changes.batch.events.reserve(copy.range.entries.size());
        for (const StoreEntry& entry : copy.range.entries)
            changes.batch.events.push_back({ entry, false });
        return encode(PeerDatagram { std::nullopt, copy.progress, std::move(changes), {} });
    }

    absl::StatusOr<StoreMirror::Copy> decodeCopy(const std::string& bytes)
    {
        auto datagram = decodePeerDatagram(bytes);
        if (!datagram.ok())
            return datagram.status();
        if (!datagram->storeProgress || !datagram->storeChanges || datagram->storeChanges->after != 0)
            return absl::InvalidArgumentError("the answer does not contain a copy of the store");
        StoreMirror::Copy copy { *datagram->storeProgress, { datagram->storeChanges->batch.revision, {} } };
        for (StoreEvent& event : datagram->storeChanges->batch.events)
            copy.range.entries.push_back(std::move(event.entry));
        return copy;
    }

} // namespace

PeerCopies::PeerCopies(net::io_context& context, const InstanceRegistry& registry, const StoreMirror& mirror)
    : m_registry(registry)
    , m_mirror(mirror)
    , m_client(context)
{
}

Awaitable<absl::StatusOr<std::optional<StoreMirror::Copy>>> PeerCopies::onCopyNewerThan(std::int64_t revision)
{
    std::vector<std::string> peers;
    for (const InstanceRegistry::Entry& entry : m_registry.others()) {
        if (!entry.peerAddress.empty())
            peers.push_back(entry.peerAddress);
    }
    if (peers.empty()) {
        const absl::Status status = absl::NotFoundError("no other instance is known");
        noteFailure(status);
        co_return status;
    }
    std::string address = peers[m_nextPeer % peers.size()];
    auto copy = co_await requestCopy(std::move(address), revision);
    if (copy.ok()) {
        m_lastRequestFailed = false;
    } else {
        ++m_nextPeer;
        noteFailure(copy.status());
    }
    co_return copy;
}

Awaitable<absl::StatusOr<std::optional<StoreMirror::Copy>>> PeerCopies::requestCopy(
    std::string address, std::int64_t revision)
{
    HttpCall call;
    call.address = address;
    call.target = absl::StrCat(CopyPath, "?after=", revision);
    call.timeout = RequestTimeout;
    call.freshConnection = true;
    call.maxAnswerBytes = MaxCopyBytes;
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    if (answer.status == NoContent)
        co_return std::optional<StoreMirror::Copy>();
    if (answer.status != Ok)
        co_return absl::UnavailableError(absl::StrCat(address, ": ", answer.status, " ", answer.error));
    auto copy = decodeCopy(answer.body);
    if (!copy.ok())
        co_return copy.status();
    ++m_traffic.taken;
    relay::DecisionLog::state("store_copy_taken",
        { { "from", address }, { "revision", copy->range.revision }, { "own_revision", revision },
            { "age_ms", copy->progress.age.count() } });
    co_return std::optional(*std::move(copy));
}

void PeerCopies::noteFailure(const absl::Status& status)
{
    ++m_traffic.failed;
    if (!std::exchange(m_lastRequestFailed, true))
        relay::DecisionLog::state("store_copy_unavailable", { { "error", std::string(status.message()) } });
}

HttpReply PeerCopies::replyTo(const std::string& path, const std::string& after)
{
    HttpReply reply;
    std::int64_t revision = 0;
    if (path != CopyPath || !absl::SimpleAtoi(after, &revision)) {
        reply.status = NotFound;
    } else if (!m_mirror.isCurrent()) {
        reply.status = Unavailable;
    } else if (m_mirror.revision() <= revision) {
        reply.status = NoContent;
    } else {
        ++m_traffic.given;
        reply.contentType = "application/octet-stream";
        reply.body = encodeCopy(m_mirror.copy());
    }
    return reply;
}

Awaitable<void> PeerCopies::onExchange(HttpExchange& exchange)
{
    HttpReply reply = replyTo(exchange.path(), exchange.query("after"));
    co_await exchange.respond(std::move(reply));
}

} // namespace crocusmount
