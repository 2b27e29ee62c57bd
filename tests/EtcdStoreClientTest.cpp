#include "shell/EtcdStoreClient.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

using namespace crocusmount;

namespace {

absl::StatusOr<StoreRange> readRange(const std::string& body)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    ScriptedHttpServer server(context, { "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body });
    EtcdStoreClient store(context, { server.address() });
    absl::StatusOr<StoreRange> range = absl::UnknownError("not called");
    const auto run = [&]() -> Awaitable<void> {
        std::string begin = "a";
        std::string end = "b";
        range = co_await store.range(std::move(begin), std::move(end));
    };
    net::co_spawn(context.get_executor(), run, [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(2));
    return range;
}

} // namespace

TEST_GROUP(EtcdStoreClient) {};

TEST(EtcdStoreClient, CutListIsNotReadAsEmptyList)
{
    const std::string body = R"({"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"5"}]})";
    for (std::size_t size = 0; size < body.size(); ++size) {
        const std::string cut = body.substr(0, size);
        CHECK_TRUE_TEXT(absl::IsUnavailable(readRange(cut).status()), cut.c_str());
    }
    for (const char* unreadable : { "{}", "[]", R"({"kvs":[]})", R"({"header":{"revision":"9"},"kvs":[3]})" })
        CHECK_TRUE_TEXT(absl::IsUnavailable(readRange(unreadable).status()), unreadable);
    const auto whole = readRange(body);
    CHECK_TRUE(whole.ok());
    CHECK_EQUAL(1U, whole->entries.size());
    CHECK_EQUAL(9, whole->revision);
    CHECK_TRUE(readRange(R"({"header":{"revision":"9"}})").ok());
}
