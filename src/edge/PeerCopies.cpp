#include "edge/PeerCopies.h"

#include "edge/DecisionLog.h"
#include "edge/InstanceRegistry.h"
#include "edge/PeerCopyCodec.h"

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
    constexpr unsigned NotFound = 404;
    constexpr unsigned Unavailable = 503; ///< the copy of the asked instance is not current

} // namespace

PeerCopies::PeerCopies(net::io_context& context, const InstanceRegistry& registry, const StoreMirror& mirror)
    : m_registry(registry)
    , m_mirror(mirror)
    , m_client(context)
{
}

Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> PeerCopies::onCopyNewerThan(std::int64_t revision)
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

Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> PeerCopies::requestCopy(std::string address, std::int64_t revision)
{
    HttpCall call;
    call.address = address;
    call.target = absl::StrCat(CopyPath, "?after=", revision);
    call.timeout = RequestTimeout;
    call.freshConnection = true;
    call.maxAnswerBytes = MaxCopyBytes;
    const HttpAnswer answer = co_await m_client.call(std::move(call));
    if (answer.status != Ok)
        co_return absl::UnavailableError(absl::StrCat(address, ": ", answer.status, " ", answer.error));
    auto copy = decodePeerCopy(answer.body);
    if (!copy.ok() || !copy->newer)
        co_return copy;
    ++m_traffic.taken;
    relay::DecisionLog::state("store_copy_taken",
        { { "from", address }, { "revision", copy->newer->range.revision }, { "own_revision", revision },
            { "age_ms", copy->progress.age.count() }, { "deferred", copy->newer->deferred.size() },
            { "grace_ms", copy->progress.lapseGrace.count() } });
    co_return copy;
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
    } else {
        StoreMirror::PeerCopy copy { m_mirror.progress(), {} };
        if (m_mirror.revision() > revision) {
            copy.newer = m_mirror.copy();
            ++m_traffic.given;
        }
        reply.contentType = "application/octet-stream";
        reply.body = encodePeerCopy(copy);
    }
    return reply;
}

Awaitable<void> PeerCopies::onExchange(HttpExchange& exchange)
{
    HttpReply reply = replyTo(exchange.path(), exchange.query("after"));
    co_await exchange.respond(std::move(reply));
}

} // namespace crocusmount
