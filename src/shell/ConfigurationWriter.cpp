#include "shell/ConfigurationWriter.h"

#include "shell/StoreClient.h"
#include "shell/StoreKeys.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace crocusmount {

namespace {

    /// Nonces of the latest writes that the head key holds.
    constexpr std::size_t MaxStoredNonces = 256;
    /// Attempts of one write, the first one included.
    constexpr int MaxApplyAttempts = 4;
    constexpr std::chrono::milliseconds ApplyRetryInterval { 150 };

    bool contains(const std::vector<std::string>& nonces, const std::string& nonce)
    {
        return std::find(nonces.begin(), nonces.end(), nonce) != nonces.end();
    }

    Awaitable<void> waitForRetry()
    {
        Timer timer(co_await net::this_coro::executor);
        timer.expires_after(ApplyRetryInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }

} // namespace

ConfigurationWriter::ConfigurationWriter(StoreClient& store)
    : m_store(store)
{
}

Awaitable<absl::StatusOr<ConfigurationWriter::Head>> ConfigurationWriter::readHead()
{
    std::string begin = storekeys::configurationHead;
    std::string end = begin + '\0'; // The range holds just the head key.
    const auto range = co_await m_store.range(std::move(begin), std::move(end));
    if (!range.ok())
        co_return range.status();
    Head head;
    if (!range->entries.empty()) {
        head.revision = Revision(range->entries.front().modRevision);
        head.nonces = absl::StrSplit(range->entries.front().value, '\n', absl::SkipEmpty());
    }
    co_return head;
}

Awaitable<ApplyOutcome> ConfigurationWriter::describeConflict(Revision base, Revision current)
{
    ApplyOutcome outcome { ApplyResult::Conflict, current, {} };
    std::string begin = storekeys::configurationObjects;
    std::string end = prefixEnd(begin);
    const auto range = co_await m_store.range(std::move(begin), std::move(end));
    if (!range.ok())
        co_return outcome;
    for (const StoreEntry& entry : range->entries) {
        if (Revision(entry.modRevision) > base)
            outcome.changed.push_back(entry.key.substr(storekeys::configurationObjects.size()));
    }
    co_return outcome;
}

Awaitable<ApplyOutcome> ConfigurationWriter::apply(
    Revision base, std::vector<ConfigurationEntry> entries, std::string nonce)
{
    ApplyOutcome outcome;
    bool mayBeWritten = false;
    for (int attempt = 0; attempt < MaxApplyAttempts; ++attempt) {
        const auto head = co_await readHead();
        if (!head.ok()) {
            outcome.result = mayBeWritten ? ApplyResult::Unknown : ApplyResult::NotAccepted;
            co_await waitForRetry();
            continue;
        }
        if (base.value() < 0)
            base = head->revision;
        outcome.revision = head->revision;
        if (contains(head->nonces, nonce)) {
            outcome.result = ApplyResult::Accepted;
            co_return outcome;
        }
        if (head->revision != base) {
            // The head never returns to the base revision, so an earlier attempt with an unknown outcome cannot be
            // applied any more.
            outcome = co_await describeConflict(base, head->revision);
            co_return outcome;
        }
        StoreWrite write;
        write.guardKey = storekeys::configurationHead;
        write.expectedModRevision = base.value();
        std::vector<std::string> nonces = head->nonces;
        nonces.push_back(nonce);
        if (nonces.size() > MaxStoredNonces)
            nonces.erase(nonces.begin(), nonces.end() - MaxStoredNonces);
        write.puts.emplace_back(storekeys::configurationHead, absl::StrJoin(nonces, "\n"));
        for (const ConfigurationEntry& entry : entries) {
            if (entry.value.empty())
                write.deletes.push_back(storekeys::configurationObjects + entry.key);
            else
                write.puts.emplace_back(storekeys::configurationObjects + entry.key, entry.value);
        }
        const StoreWriteResult result = co_await m_store.write(std::move(write));
        if (result.outcome == WriteOutcome::Committed) {
            outcome.result = ApplyResult::Accepted;
            outcome.revision = Revision(result.revision);
            co_return outcome;
        }
        // Another attempt with this guard is safe, because at most one of the attempts can find the head at the base
        // revision.
        mayBeWritten = mayBeWritten || result.outcome == WriteOutcome::Unknown;
        outcome.result = mayBeWritten ? ApplyResult::Unknown : ApplyResult::NotAccepted;
        if (result.outcome != WriteOutcome::Conflict)
            co_await waitForRetry();
    }
    co_return outcome;
}

Awaitable<ApplyOutcome> ConfigurationWriter::settle(Revision base, std::string nonce)
{
    ApplyOutcome outcome;
    outcome.result = ApplyResult::Unknown;
    const auto head = co_await readHead();
    if (!head.ok())
        co_return outcome;
    outcome.revision = head->revision;
    if (contains(head->nonces, nonce))
        outcome.result = ApplyResult::Accepted;
    else if (head->revision != base)
        outcome.result = ApplyResult::NotAccepted;
    co_return outcome;
}

} // namespace crocusmount
