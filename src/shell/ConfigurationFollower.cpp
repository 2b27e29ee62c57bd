#include "shell/ConfigurationFollower.h"

#include "shell/StoreKeys.h"

#include <algorithm>
#include <map>

namespace crocusmount {

namespace {

    constexpr std::chrono::milliseconds MinBackoff { 100 };
    constexpr std::chrono::milliseconds MaxBackoff { 2000 };
    /// Time between two checks of the head key.
    constexpr std::chrono::milliseconds HeadCheckInterval { 5000 };

    bool isObject(const std::string& key)
    {
        return key.compare(0, storekeys::configurationObjects.size(), storekeys::configurationObjects) == 0;
    }

    ConfigurationEntry parseEntry(const StoreEntry& entry, bool deleted)
    {
        return { entry.key.substr(storekeys::configurationObjects.size()), deleted ? std::string() : entry.value,
            Revision(entry.modRevision) };
    }

} // namespace

ConfigurationFollower::ConfigurationFollower(net::io_context& context, StoreClient& store, Post post)
    : m_context(context)
    , m_store(store)
    , m_post(std::move(post))
{
}

void ConfigurationFollower::setFollowing(bool following)
{
    if (following == m_following)
        return;
    m_following = following;
    ++m_session;
    if (following)
        startSession();
}

void ConfigurationFollower::startSession()
{
    net::co_spawn(m_context.get_executor(), followLoop(m_session), net::detached);
    net::co_spawn(m_context.get_executor(), checkLoop(m_session), net::detached);
}

Awaitable<void> ConfigurationFollower::sleep(std::chrono::milliseconds span)
{
    Timer timer(m_context.get_executor());
    timer.expires_after(span);
    co_await timer.async_wait(net::as_tuple(useAwaitable));
}

Awaitable<bool> ConfigurationFollower::readAll()
{
    ++m_calls;
    std::string begin = storekeys::configurationPrefix;
    std::string end = prefixEnd(begin);
    const auto range = co_await m_store.range(std::move(begin), std::move(end));
    m_post(event::StoreSeen { range.ok() });
    if (!range.ok())
        co_return false;
    ConfigurationChange change;
    for (const StoreEntry& entry : range->entries) {
        if (entry.key == storekeys::configurationHead)
            change.revision = Revision(entry.modRevision);
        else if (isObject(entry.key))
            change.entries.push_back(parseEntry(entry, false));
    }
    m_revision = change.revision;
    m_post(event::ConfigurationRead { std::move(change), true });
    co_return true;
}

bool ConfigurationFollower::applyBatch(const StoreWatchBatch& batch, std::uint64_t session)
{
    if (session != m_session)
        return false;
    m_post(event::StoreSeen { true });
    // A write never spans batches, but a batch may hold several writes. All events of one write have one revision.
    std::map<Revision, ConfigurationChange> changes;
    for (const StoreEvent& event : batch.events) {
        const Revision revision(event.entry.modRevision);
        ConfigurationChange& change = changes[revision];
        change.revision = revision;
        if (isObject(event.entry.key))
            change.entries.push_back(parseEntry(event.entry, event.deleted));
    }
    for (auto& [revision, change] : changes) {
        if (revision <= m_revision)
            continue;
        change.base = m_revision;
        m_revision = revision;
        m_post(event::ConfigurationRead { std::move(change), true });
    }
    return true;
}

Awaitable<void> ConfigurationFollower::followLoop(std::uint64_t session)
{
    auto backoff = MinBackoff;
    while (session == m_session) {
        if (!co_await readAll()) {
            co_await sleep(backoff);
            backoff = std::min(MaxBackoff, backoff * 2);
            continue;
        }
        backoff = MinBackoff;
        // An unavailable watch resumes after the last revision. Any other error requires a new read of everything.
        absl::Status status;
        do {
            ++m_calls;
            std::string begin = storekeys::configurationPrefix;
            std::string end = prefixEnd(begin);
            const std::int64_t from = m_revision.value() + 1;
            StoreClient::OnWatch onWatch
                = [this, session](const StoreWatchBatch& batch) { return applyBatch(batch, session); };
            status = co_await m_store.watch(std::move(begin), std::move(end), from, std::move(onWatch));
            m_post(event::StoreSeen { false });
            co_await sleep(MinBackoff);
        } while (session == m_session && absl::IsUnavailable(status) && m_revision != Revision());
    }
}

// A watch can stop delivering changes without an error. The revision of the head key shows missed changes.
Awaitable<void> ConfigurationFollower::checkLoop(std::uint64_t session)
{
    for (;;) {
        co_await sleep(HeadCheckInterval);
        if (session != m_session)
            co_return;
        ++m_calls;
        std::string begin = storekeys::configurationHead;
        std::string end = begin + '\0'; // The range holds just the head key.
        const auto range = co_await m_store.range(std::move(begin), std::move(end));
        m_post(event::StoreSeen { range.ok() });
        const bool behind
            = range.ok() && !range->entries.empty() && Revision(range->entries.front().modRevision) > m_revision;
        if (behind && session == m_session) {
            ++m_session;
            startSession();
        }
    }
}

} // namespace crocusmount
