#include "edge/QuarantineStore.h"

#include "edge/DecisionLog.h"
#include "edge/InstanceRegistry.h"
#include "edge/RelayNode.h"
#include "shell/Json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <xxhash.h>

namespace crocusmount {

namespace {

    constexpr const char* QuarantinePrefix = "crocusmount/quarantine/";
    /// Keys in the store; beyond that the oldest goes, and is kept by the instances that know of it.
    constexpr std::size_t MostEntries = 64;
    /// After this time an entry is deleted with the next that is written.
    constexpr std::chrono::minutes EntryLifetime { 30 };
    /// For so long the instance that came to a verdict first is waited for, and then each of the others in its turn.
    constexpr std::chrono::milliseconds OthersWait { 1000 };
    constexpr std::chrono::milliseconds TurnInterval { 400 };
    constexpr std::chrono::milliseconds LookInterval { 100 };
    /// Between two tries to write one verdict; a store that is away costs a call each time.
    constexpr std::chrono::milliseconds RetryInterval { 1000 };

    std::string keyOf(const std::string& id) { return QuarantinePrefix + id; }

    std::int64_t unixMs()
    {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    }

    bool isOver(const QuarantineStore::Entry& entry)
    {
        return unixMs() > entry.sinceMs + std::chrono::milliseconds(EntryLifetime).count();
    }

    std::string textFrom(const QuarantineStore::Entry& entry)
    {
        return boost::json::serialize(boost::json::object { { "workspace", entry.request.workspace.value() },
            { "content", entry.request.content.toText() }, { "since_ms", entry.sinceMs },
            { "servers", entry.servers } });
    }

    absl::StatusOr<QuarantineStore::Entry> entryFrom(const std::string& id, const StoreEntry& stored)
    {
        const boost::json::object value = parseObject(stored.value);
        const std::string digits = textOf(value, "content");
        const bool isHex = digits.size() == 2 * relay::ContentDigest::Size
            && digits.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!isHex)
            return absl::InvalidArgumentError("not an entry of a quarantined request");
        QuarantineStore::Entry entry;
        entry.request.workspace = WorkspaceId(textOf(value, "workspace"));
        entry.request.content = relay::ContentDigest::fromBytes(absl::HexStringToBytes(digits));
        entry.sinceMs = numberOf(value, "since_ms");
        entry.servers = static_cast<std::uint32_t>(countOf(value, "servers"));
        entry.revision = stored.modRevision;
        if (QuarantineStore::idOf(entry.request) != id)
            return absl::InvalidArgumentError("an entry under the id of another request");
        return entry;
    }

} // namespace

QuarantineStore::QuarantineStore(
    net::io_context& context, StoreClient& store, relay::RelayNode& node, const InstanceRegistry& registry)
    : m_context(context)
    , m_store(store)
    , m_node(node)
    , m_registry(registry)
{
    node.setQuarantine(*this);
}

std::string QuarantineStore::idOf(const relay::RequestIdentity& request)
{
    // The workspace's name may be longer than a key; who shares its hash differs in the value.
    const std::string& workspace = request.workspace.value();
    return absl::StrFormat("%s-%016x", request.content.toText(), XXH3_64bits(workspace.data(), workspace.size()));
}

void QuarantineStore::storeChanged(const StoreEvent& event)
{
    if (!absl::StartsWith(event.entry.key, QuarantinePrefix))
        return;
    const std::string id = event.entry.key.substr(std::string_view(QuarantinePrefix).size());
    if (event.deleted) {
        const auto known = m_entries.find(id);
        if (known == m_entries.end())
            return;
        const relay::RequestIdentity request = known->second.request;
        m_entries.erase(known);
        m_node.post(relay::event::QuarantineLifted { request });
        return;
    }
    const auto entry = entryFrom(id, event.entry);
    if (!entry.ok()) {
        if (!m_unreadable++)
            relay::DecisionLog::state("quarantine_unreadable", { { "error", std::string(entry.status().message()) } });
        return;
    }
    m_entries[id] = *entry;
    m_pending.erase(id);
    if (!isOver(*entry))
        m_node.post(relay::event::QuarantineListed { entry->request });
}

void QuarantineStore::onQuarantine(const relay::effect::QuarantineRequest& verdict)
{
    const std::string id = idOf(verdict.request);
    if (m_entries.count(id))
        return;
    const auto turn = static_cast<int>(m_registry.rank());
    const auto wait = verdict.isOwn ? std::chrono::milliseconds(0) : OthersWait + turn * TurnInterval;
    m_pending[id] = { { verdict.request, unixMs(), verdict.servers, 0 }, Clock::now() + wait };
    if (!std::exchange(m_writing, true))
        net::co_spawn(m_context.get_executor(), writeLoop(), net::detached);
}

void QuarantineStore::onClear(const relay::effect::ClearRequest& cleared)
{
    const std::string id = idOf(cleared.request);
    m_pending.erase(id);
    if (!cleared.isOwn || !m_entries.count(id))
        return;
    net::co_spawn(
        m_context.get_executor(),
        [this, id]() -> Awaitable<void> {
            std::string own = id;
            const absl::Status status = co_await lift(std::move(own));
            if (!status.ok())
                relay::DecisionLog::state("quarantine_not_lifted", { { "id", id }, { "error", status.ToString() } });
        },
        net::detached);
}

Awaitable<void> QuarantineStore::writeLoop()
{
    Timer timer(m_context.get_executor());
    while (!m_pending.empty()) {
        std::vector<std::pair<std::string, Entry>> due;
        for (const auto& [id, pending] : m_pending) {
            if (Clock::now() >= pending.due)
                due.emplace_back(id, pending.entry);
        }
        for (auto& [id, entry] : due) {
            std::string key = id;
            const bool done = co_await write(std::move(key), entry);
            const auto pending = m_pending.find(id);
            if (pending == m_pending.end())
                continue;
            if (done)
                m_pending.erase(pending);
            else
                pending->second.due = Clock::now() + RetryInterval;
        }
        timer.expires_after(LookInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
    m_writing = false;
}

/// @return whether the store holds the verdict, this instance's or another one's
Awaitable<bool> QuarantineStore::write(std::string id, Entry entry)
{
    StoreWrite write;
    write.guardKey = keyOf(id);
    write.expectedModRevision = 0;
    write.puts.emplace_back(write.guardKey, textFrom(entry));
    write.deletes = keysToDrop();
    const StoreWriteResult result = co_await m_store.write(std::move(write));
    co_return result.outcome == WriteOutcome::Committed || result.outcome == WriteOutcome::Conflict;
}

/// @return keys whose time is over, and the oldest where there are too many
std::vector<std::string> QuarantineStore::keysToDrop() const
{
    /// Most keys of one write that the platform's store takes, beside the new one.
    constexpr std::size_t MostDropped = 30;
    std::vector<std::pair<std::int64_t, std::string>> byAge;
    for (const auto& [id, entry] : m_entries)
        byAge.emplace_back(entry.sinceMs, id);
    std::sort(byAge.begin(), byAge.end());
    std::vector<std::string> dropped;
    for (const auto& [since, id] : byAge) {
        const bool tooMany = byAge.size() - dropped.size() >= MostEntries;
        if (dropped.size() < MostDropped && (tooMany || isOver(m_entries.at(id))))
            dropped.push_back(keyOf(id));
    }
    return dropped;
}

Awaitable<absl::Status> QuarantineStore::lift(std::string id)
{
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end())
        co_return absl::NotFoundError("no such request is quarantined");
    StoreWrite write;
    write.guardKey = keyOf(id);
    write.expectedModRevision = entry->second.revision;
    write.deletes.push_back(write.guardKey);
    const StoreWriteResult result = co_await m_store.write(std::move(write));
    if (result.outcome != WriteOutcome::Committed)
        co_return absl::UnavailableError("the store did not confirm it");
    co_return absl::OkStatus();
}

} // namespace crocusmount
