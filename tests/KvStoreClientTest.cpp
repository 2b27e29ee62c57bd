#include "platform/KvStoreClient.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

#include <functional>

using namespace crocusmount;

namespace {

/// @return a successful answer that ends with its connection
std::string answerWithoutLength(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + body;
}

/// The results of one call of each kind to a store.
struct CallResults {
    absl::StatusOr<StoreRange> range = absl::UnknownError("not called");
    StoreWriteResult write;
    absl::StatusOr<Lease> lease = absl::UnknownError("not called");
    absl::Status watch;
    std::vector<StoreWatchBatch> batches;
    std::size_t requests = 0;
};

using Call = std::function<Awaitable<void>(platform::KvStoreClient&, CallResults&)>;

/// Runs a call to a store whose answers are scripted.
CallResults runCall(std::vector<std::string> answers, const Call& call)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    ScriptedHttpServer server(context, std::move(answers));
    platform::KvStoreClient store(context, server.address());
    CallResults results;
    net::co_spawn(context.get_executor(), call(store, results), [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(2));
    results.requests = server.targets().size();
    return results;
}

Awaitable<void> readRange(platform::KvStoreClient& store, CallResults& results)
{
    std::string begin = "servers/";
    std::string end;
    results.range = co_await store.range(std::move(begin), std::move(end));
}

Awaitable<void> writeKey(platform::KvStoreClient& store, CallResults& results)
{
    StoreWrite write;
    write.puts.emplace_back("key", "value");
    results.write = co_await store.write(std::move(write));
}

Awaitable<void> grantLease(platform::KvStoreClient& store, CallResults& results)
{
    results.lease = co_await store.grantLease(std::chrono::seconds(2));
}

/// Ends with the first batch.
Awaitable<void> watchKeys(platform::KvStoreClient& store, CallResults& results)
{
    std::string begin = "servers/";
    std::string end;
    StoreClient::OnWatch onWatch = [&results](StoreWatchBatch batch) {
        results.batches.push_back(std::move(batch));
        return false;
    };
    results.watch = co_await store.watch(std::move(begin), std::move(end), 8, std::move(onWatch));
}

const std::string FirstPage = R"({"current_rev":9,"entries":[{"key":"servers/a","value":"YQ==","revision":3}],)"
                              R"("more_pages":true})";
const std::string LastPage = R"({"current_rev":9,"entries":[{"key":"servers/b","value":"Yg==","revision":4}],)"
                             R"("more_pages":false})";
const std::string Events = R"({"current_rev":9,"events":[{"key":"servers/a","value":"YQ==","revision":9},)"
                           R"({"key":"servers/b","revision":8,"tombstone":true}]})";

} // namespace

TEST_GROUP(KvStoreClient) {};

TEST(KvStoreClient, CutListIsNotReadAsShorterList)
{
    for (std::size_t size = 0; size < LastPage.size(); ++size) {
        const std::string cut = LastPage.substr(0, size);
        for (const auto& answers : { std::vector { answerWithoutLength(cut) },
                 std::vector { answerWithoutLength(FirstPage), answerWithoutLength(cut) } }) {
            const CallResults results = runCall(answers, readRange);
            CHECK_TRUE_TEXT(absl::IsUnavailable(results.range.status()), cut.c_str());
        }
    }
    const CallResults whole = runCall({ answerWithoutLength(FirstPage), answerWithoutLength(LastPage) }, readRange);
    CHECK_TRUE(whole.range.ok());
    CHECK_EQUAL(2U, whole.range->entries.size());
    CHECK_EQUAL(9, whole.range->revision);
    CHECK_TEXT("b", whole.range->entries.back().value);
}

TEST(KvStoreClient, UnreadableListIsNotReadAsEmptyList)
{
    for (const char* body : { "", "{}", "[]", "null", "3", R"({"entries":[]})", R"({"current_rev":"x","entries":[]})",
             R"({"current_rev":9,"entries":{}})", R"({"current_rev":9,"entries":[3]})",
             R"({"current_rev":9,"entries":[{"value":"YQ==","revision":3}]})" }) {
        const CallResults results = runCall({ answerWithoutLength(body) }, readRange);
        CHECK_TRUE_TEXT(absl::IsUnavailable(results.range.status()), body);
    }
    const CallResults empty = runCall({ answerWithoutLength(R"({"current_rev":9,"entries":[]})") }, readRange);
    CHECK_TRUE(empty.range.ok());
    CHECK_TRUE(empty.range->entries.empty());
}

TEST(KvStoreClient, PageThatDoesNotAdvanceDoesNotCompleteList)
{
    const std::string emptyPage = R"({"current_rev":9,"entries":[],"more_pages":true})";
    for (const auto& answers :
        { std::vector { emptyPage }, std::vector { FirstPage, emptyPage }, std::vector { FirstPage, FirstPage } }) {
        std::vector<std::string> script;
        script.reserve(answers.size());
        for (const std::string& body : answers)
            script.push_back(answerWithoutLength(body));
        const CallResults results = runCall(script, readRange);
        CHECK_TRUE(absl::IsUnavailable(results.range.status()));
        CHECK_EQUAL(answers.size(), results.requests);
    }
}

TEST(KvStoreClient, WriteIsNotCommittedByCutAnswer)
{
    const std::string body = R"({"revision":9})";
    for (std::size_t size = 0; size < body.size(); ++size) {
        const std::string cut = body.substr(0, size);
        const CallResults results = runCall({ answerWithoutLength(cut) }, writeKey);
        CHECK_TRUE_TEXT(results.write.outcome == WriteOutcome::Unknown, cut.c_str());
    }
    const CallResults results = runCall({ answerWithoutLength(body) }, writeKey);
    CHECK_TRUE(results.write.outcome == WriteOutcome::Committed);
    CHECK_EQUAL(9, results.write.revision);
}

TEST(KvStoreClient, CutAnswerGrantsNoLease)
{
    const std::string body = R"({"lease":7,"ttl_ms":5000})";
    for (std::size_t size = 0; size < body.size(); ++size) {
        const std::string cut = body.substr(0, size);
        const CallResults results = runCall({ answerWithoutLength(cut) }, grantLease);
        CHECK_TRUE_TEXT(absl::IsUnavailable(results.lease.status()), cut.c_str());
    }
    const CallResults results = runCall({ answerWithoutLength(body) }, grantLease);
    CHECK_TRUE(results.lease.ok());
    CHECK_EQUAL(7, results.lease->id);
}

TEST(KvStoreClient, CutWatchAnswerDeliversNoChanges)
{
    for (std::size_t size = 0; size < Events.size(); ++size) {
        const std::string cut = Events.substr(0, size);
        const CallResults results = runCall({ answerWithoutLength(cut) }, watchKeys);
        CHECK_TRUE_TEXT(absl::IsUnavailable(results.watch), cut.c_str());
        CHECK_TRUE_TEXT(results.batches.empty(), cut.c_str());
    }
    const CallResults results = runCall({ answerWithoutLength(Events) }, watchKeys);
    CHECK_TRUE(results.watch.ok());
    CHECK_EQUAL(1U, results.batches.size());
    CHECK_EQUAL(9, results.batches.front().revision);
    CHECK_EQUAL(2U, results.batches.front().events.size());
    CHECK_TRUE(results.batches.front().events.back().deleted);
}
