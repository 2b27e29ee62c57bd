#include "shell/ClaimStore.h"

#include "shell/StoreClient.h"
#include "shell/StoreKeys.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace crocusmount {

namespace storekeys {

    std::string claimHead(ShardId shard) { return absl::StrCat("/crocusmount/claims/", shard.value(), "/head"); }

    std::string claimBatch(ShardId shard, std::uint64_t sequence)
    {
        return absl::StrFormat("/crocusmount/claims/%d/batch/%020d", shard.value(), sequence);
    }

} // namespace storekeys

namespace {

    /// Serializes a batch. The first line is the time of writing in microseconds since the epoch of TimePoint. Each
    /// further line is a claim: the hash of the key, the nonce, and "-" if the claim is released.
    std::string serializeBatch(const effect::AppendClaims& append)
    {
        std::string text = absl::StrCat(append.writtenAt.time_since_epoch().count(), "\n");
        for (const Claim& claim : append.claims)
            absl::StrAppend(&text, claim.keyHash, " ", claim.nonce, claim.released ? " -\n" : "\n");
        return text;
    }

    /// Parses a batch as serializeBatch() writes it. Lines that are not a claim are skipped.
    ClaimBatch parseBatch(std::uint64_t sequence, const std::string& text)
    {
        ClaimBatch batch;
        batch.sequence = sequence;
        std::int64_t writtenAt = 0;
        const std::vector<std::string> lines = absl::StrSplit(text, '\n', absl::SkipEmpty());
        for (std::size_t i = 0; i < lines.size(); ++i) {
            const std::vector<std::string> words = absl::StrSplit(lines[i], ' ');
            if (i == 0)
                (void)absl::SimpleAtoi(words[0], &writtenAt);
            else if (words.size() >= 2)
                batch.claims.push_back({ words[0], words[1], words.size() > 2 });
        }
        batch.writtenAt = timePoint(writtenAt);
        return batch;
    }

} // namespace

ClaimStore::ClaimStore(net::io_context& context, StoreClient& store, Post post)
    : m_context(context)
    , m_store(store)
    , m_post(std::move(post))
{
}

void ClaimStore::read(const effect::ReadClaims& read)
{
    net::co_spawn(m_context.get_executor(), runRead(read), net::detached);
}

void ClaimStore::append(const effect::AppendClaims& append)
{
    net::co_spawn(m_context.get_executor(), runAppend(append), net::detached);
}

Awaitable<void> ClaimStore::runRead(effect::ReadClaims read)
{
    ++m_calls;
    const std::string head = storekeys::claimHead(read.shard);
    std::string begin = storekeys::claimBatch(read.shard, read.afterSequence + 1);
    std::string end = head + '\0';
    const auto range = co_await m_store.range(std::move(begin), std::move(end));
    event::ClaimsRead event;
    event.shard = read.shard;
    event.available = range.ok();
    event.headSequence = read.afterSequence;
    if (range.ok()) {
        for (const StoreEntry& entry : range->entries) {
            if (entry.key == head) {
                event.headRevision = entry.modRevision;
                (void)absl::SimpleAtoi(entry.value, &event.headSequence);
                continue;
            }
            std::uint64_t sequence = 0;
            (void)absl::SimpleAtoi(entry.key.substr(entry.key.rfind('/') + 1), &sequence);
            event.batches.push_back(parseBatch(sequence, entry.value));
        }
    }
    m_post(std::move(event));
}

Awaitable<void> ClaimStore::runAppend(effect::AppendClaims append)
{
    ++m_calls;
    StoreWrite write;
    write.guardKey = storekeys::claimHead(append.shard);
    write.expectedModRevision = append.expectedHeadRevision;
    write.puts.emplace_back(write.guardKey, absl::StrCat(append.sequence));
    write.puts.emplace_back(storekeys::claimBatch(append.shard, append.sequence), serializeBatch(append));
    if (append.trimBelow)
        write.deleteRanges.emplace_back(
            storekeys::claimBatch(append.shard, 0), storekeys::claimBatch(append.shard, append.trimBelow));
    const StoreWriteResult result = co_await m_store.write(std::move(write));
    m_post(event::ClaimsAppended { append.shard, result.outcome, result.revision });
}

} // namespace crocusmount
