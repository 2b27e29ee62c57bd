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
    /// Maximum number of entries in the store. When it is reached, a new entry replaces the oldest one.
    constexpr std::size_t MaxEntries = 64;
    /// Entries older than this are deleted when the next entry is written.
    constexpr std::chrono::minutes EntryLifetime { 30 };
    /// The instance that comes to a verdict first writes it immediately. If the verdict is not in the store after this
    /// time, the other instances try to write it, one after the other.
    constexpr std::chrono::milliseconds FinderWriteTimeout { 1000 };
    /// Delay between the writes of two other instances of adjacent ranks.
    constexpr std::chrono::milliseconds WriteDelayPerRank { 400 };
    /// Interval of the checks for verdicts that are due to be written.
    constexpr std::chrono::milliseconds PollInterval { 100 };
    /// Interval of the attempts to write one verdict. Each one costs a call while the store is unreachable.
    constexpr std::chrono::milliseconds RetryInterval { 1000 };

    std::string keyOf(const std::string& id) { return QuarantinePrefix + id; }

    std::int64_t unixMs()
    {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    }

    bool isExpired(const QuarantineStore::Entry& entry)
    {
        return unixMs() > entry.sinceMs + std::chrono::milliseconds(EntryLifetime).count();
    }

    std::string textFrom(const QuarantineStore::Entry& entry)
    {
        boost::json::object value { { relay::kindOf(entry.trait), entry.trait.toHex() }, { "since_ms", entry.sinceMs },
            { "servers", entry.servers } };
        if (entry.trait.workspace)
            value["workspace"] = entry.trait.workspace->value();
        return boost::json::serialize(value);
    }

    bool isHex(const std::string& text)
    {
        return !text.empty() && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    absl::StatusOr<QuarantineStore::Entry> entryFrom(const std::string& id, const StoreEntry& stored)
    {
        const boost::json::object value = parseObject(stored.value);
        const std::string part = textOf(value, "part");
        const std::string hexDigest = textOf(value, "content");
        if (!isHex(part.empty() ? hexDigest : part)
            || (part.empty() && hexDigest.size() != 2 * relay::ContentDigest::Size))
            return absl::InvalidArgumentError("neither a digest nor a part in hexadecimal digits");
        QuarantineStore::Entry entry;
        if (part.empty() || value.contains("workspace"))
            entry.trait.workspace = WorkspaceId(textOf(value, "workspace"));
        if (part.empty())
            entry.trait.value = relay::ContentDigest::fromBytes(absl::HexStringToBytes(hexDigest));
        else
            entry.trait.value = PromptPartId(part);
        entry.sinceMs = numberOf(value, "since_ms");
        // Clocks differ, but not by as much as an entry lives.
        if (entry.sinceMs <= 0 || entry.sinceMs > unixMs() + std::chrono::milliseconds(EntryLifetime).count())
            return absl::InvalidArgumentError("since_ms is not a time in the past");
        entry.servers = static_cast<std::uint32_t>(countOf(value, "servers"));
        entry.revision = stored.modRevision;
        if (QuarantineStore::idOf(entry.trait) != id)
            return absl::InvalidArgumentError("the id does not match the trait");
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

std::string QuarantineStore::idOf(const relay::RequestTrait& trait)
{
    std::string id = (trait.isPromptPart() ? "part-" : "") + trait.toHex();
    if (trait.isOfAllWorkspaces())
        return id;
    // The workspace's name can be too long for a key, so the id contains its hash. The value holds the full name.
    const std::string workspace = trait.scope();
    return absl::StrFormat("%s-%016x", id, XXH3_64bits(workspace.data(), workspace.size()));
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
        const relay::RequestTrait trait = known->second.trait;
        m_entries.erase(known);
        m_node.post(relay::event::QuarantineLifted { trait });
        return;
    }
    const auto entry = entryFrom(id, event.entry);
    if (!entry.ok()) {
        if (!m_unreadableCount++)
            relay::DecisionLog::state("quarantine_unreadable", { { "error", std::string(entry.status().message()) } });
        return;
    }
    m_entries[id] = *entry;
    m_pendingVerdicts.erase(id);
    if (!isExpired(*entry))
        m_node.post(relay::event::QuarantineListed { entry->trait });
}

void QuarantineStore::onQuarantine(const relay::effect::QuarantineTrait& verdict)
{
    const std::string id = idOf(verdict.trait);
    if (m_entries.count(id))
        return;
    const auto rank = static_cast<int>(m_registry.rank());
    const auto delay = verdict.isOwn ? std::chrono::milliseconds(0) : FinderWriteTimeout + rank * WriteDelayPerRank;
    m_pendingVerdicts[id] = { { verdict.trait, unixMs(), verdict.servers, 0 }, Clock::now() + delay };
    if (!std::exchange(m_isWriteLoopRunning, true))
        net::co_spawn(m_context.get_executor(), writeLoop(), net::detached);
}

void QuarantineStore::onClear(const relay::effect::ClearTrait& cleared)
{
    if (!cleared.endsQuarantine)
        return;
    const std::string id = idOf(cleared.trait);
    m_pendingVerdicts.erase(id);
    if (!cleared.isOwn || !m_entries.count(id))
        return;
    net::co_spawn(
        m_context.get_executor(),
        [this, id]() -> Awaitable<void> {
            std::string entryId = id;
            const absl::Status status = co_await lift(std::move(entryId));
            if (!status.ok())
                relay::DecisionLog::state("quarantine_not_lifted", { { "id", id }, { "error", status.ToString() } });
        },
        net::detached);
}

/// Writes the pending verdicts when they are due. Returns when there are none left.
Awaitable<void> QuarantineStore::writeLoop()
{
    Timer timer(m_context.get_executor());
    while (!m_pendingVerdicts.empty()) {
        std::vector<std::pair<std::string, Entry>> due;
        for (const auto& [id, pending] : m_pendingVerdicts) {
            if (Clock::now() >= pending.due)
                due.emplace_back(id, pending.entry);
        }
        for (auto& [id, entry] : due) {
            std::string key = id;
            const bool isStored = co_await write(std::move(key), entry);
            const auto pending = m_pendingVerdicts.find(id);
            if (pending == m_pendingVerdicts.end())
                continue;
            if (isStored)
                m_pendingVerdicts.erase(pending);
            else
                pending->second.due = Clock::now() + RetryInterval;
        }
        timer.expires_after(PollInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
    m_isWriteLoopRunning = false;
}

/// @return whether the store now holds the verdict, written by this or by another instance
Awaitable<bool> QuarantineStore::write(std::string id, Entry entry)
{
    StoreWrite write;
    write.guardKey = keyOf(id);
    write.expectedModRevision = 0;
    write.puts.emplace_back(write.guardKey, textFrom(entry));
    write.deletes = keysToDelete();
    const StoreWriteResult result = co_await m_store.write(std::move(write));
    co_return result.outcome == WriteOutcome::Committed || result.outcome == WriteOutcome::Conflict;
}

/// @return keys of the expired entries, and of the oldest ones that must make room for a new entry
std::vector<std::string> QuarantineStore::keysToDelete() const
{
    /// Maximum number of keys that the platform's store accepts in one write, besides the new one.
    constexpr std::size_t MaxDeletesPerWrite = 30;
    std::vector<std::pair<std::int64_t, std::string>> byAge;
    for (const auto& [id, entry] : m_entries)
        byAge.emplace_back(entry.sinceMs, id);
    std::sort(byAge.begin(), byAge.end());
    std::vector<std::string> keys;
    for (const auto& [since, id] : byAge) {
        const bool isOverLimit = byAge.size() - keys.size() >= MaxEntries;
        if (keys.size() < MaxDeletesPerWrite && (isOverLimit || isExpired(m_entries.at(id))))
            keys.push_back(keyOf(id));
    }
    return keys;
}

Awaitable<absl::Status> QuarantineStore::lift(std::string id)
{
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end())
        co_return absl::NotFoundError("no such entry");
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
