#pragma once

#include "shell/StoreClient.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace crocusmount {

/// The state of a store that several clients read and watch, each over a link of its own.
class SharedStore {
public:
    using Clock = std::chrono::steady_clock;

    std::int64_t revision() const { return m_revision; }
    const std::map<std::string, StoreEntry>& entries() const { return m_entries; }
    const std::vector<StoreEvent>& history() const { return m_history; }
    bool isDown() const { return m_isDown; }

    void setDown(bool isDown) { m_isDown = isDown; }
    void put(const std::string& key)
    {
        m_entries[key] = { key, "value", ++m_revision };
        m_history.push_back({ m_entries[key], false });
    }
    void remove(const std::string& key)
    {
        if (m_entries.erase(key))
            m_history.push_back({ { key, {}, ++m_revision }, true });
    }

private:
    std::int64_t m_revision = 10;
    std::map<std::string, StoreEntry> m_entries;
    std::vector<StoreEvent> m_history;
    bool m_isDown = false;
};

/// Reads and watches a SharedStore with the times of platform::KvStoreClient. While the link is cut or the store is
/// down, calls are silent: they are answered if that ends before their timeout.
class SharedStoreClient final : public StoreClient {
public:
    SharedStoreClient(net::io_context& context, const SharedStore& store)
        : m_context(context)
        , m_store(store)
    {
    }

    void setCut(bool isCut) { m_isCut = isCut; }
    bool isCut() const { return m_isCut; }

private:
    using Clock = SharedStore::Clock;
    static constexpr std::chrono::milliseconds Step { 10 };
    static constexpr std::chrono::milliseconds CallTimeout { 1000 };
    static constexpr std::chrono::milliseconds HoldTime { 500 };
    static constexpr std::chrono::milliseconds WatchTimeout { 1100 };
    static constexpr std::chrono::milliseconds CoalescingDelay { 250 };

    bool isSilent() const { return m_isCut || m_store.isDown(); }

    Awaitable<void> sleep(std::chrono::milliseconds span)
    {
        Timer timer(m_context.get_executor());
        timer.expires_after(span);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }

    /// @return whether the answer arrives before the timeout
    Awaitable<bool> awaitAnswer(Clock::time_point timeout)
    {
        do
            co_await sleep(Step);
        while (isSilent() && Clock::now() < timeout);
        co_return !isSilent();
    }

    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string, std::string) override
    {
        const auto timeout = Clock::now() + CallTimeout;
        if (isSilent() && !co_await awaitAnswer(timeout))
            co_return absl::DeadlineExceededError("silent");
        StoreRange range { m_store.revision(), {} };
        for (const auto& [key, entry] : m_store.entries())
            range.entries.push_back(entry);
        // An answer that is on its way when the link is cut arrives when it has healed.
        if (!co_await awaitAnswer(timeout))
            co_return absl::DeadlineExceededError("silent");
        co_return range;
    }

    Awaitable<StoreWriteResult> onWrite(StoreWrite) override { co_return StoreWriteResult(); }

    Awaitable<absl::Status> onWatch(std::string, std::string, std::int64_t fromRevision, OnWatch onWatch) override
    {
        std::int64_t after = fromRevision - 1;
        while (true) {
            const auto timeout = Clock::now() + WatchTimeout;
            if (isSilent() && !co_await awaitAnswer(timeout))
                co_return absl::DeadlineExceededError("silent");
            const auto held = Clock::now() + HoldTime;
            while (m_store.revision() <= after && Clock::now() < held)
                co_await sleep(Step);
            StoreWatchBatch batch { m_store.revision(), {} };
            for (const StoreEvent& event : m_store.history()) {
                if (event.entry.modRevision > after)
                    batch.events.push_back(event);
            }
            if (!co_await awaitAnswer(timeout))
                co_return absl::DeadlineExceededError("silent");
            after = batch.revision;
            const bool shouldPause = !batch.events.empty();
            if (!onWatch(batch))
                co_return absl::OkStatus();
            if (shouldPause)
                co_await sleep(CoalescingDelay);
        }
    }

    net::io_context& m_context;
    const SharedStore& m_store;
    bool m_isCut = false;
};

} // namespace crocusmount
