#include "config/ConfigurationJson.h"
#include "config/ConfigurationStore.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(Configuration) {};

TEST(Configuration, InvalidObjectsAreRejectedWithTheirPath)
{
    const struct {
        const char* key;
        const char* json;
        const char* expectedError; ///< part of the error message; empty if the object is valid
    } cases[] = {
        { "workspaces/w", "{}", "" },
        { "workspaces/w", R"({"weight":0})", "/weight" },
        { "workspaces/w", R"({"weight":"x"})", "/weight" },
        { "workspaces/w", R"({"tokenSha256":["abc"]})", "/tokenSha256" },
        { "workspaces/w", R"({"id":"v"})", "/id" },
        { "workspaces/w", R"({"wieght":1})", "/wieght: unknown key" },
        { "workspaces/", "{}", "expected KIND/ID" },
        { "workspaces/a b", "{}", "expected KIND/ID" },
        { "things/x", "{}", "unknown kind" },
        { "pipelines/p", R"({"model":"m","layers":4})", "" },
        { "pipelines/p", R"({"model":"m","layers":0})", "/layers" },
        { "pipelines/p", R"({"layers":4})", "/model" },
        { "pipelines/p", R"({"model":"m","kind":"Other"})", "/kind" },
        { "backends/b", R"({"address":"10.0.0.1:80","dataCentre":"d"})", "" },
        { "backends/b", R"({"address":"10.0.0.1","dataCentre":"d"})", "/address" },
        { "backends/b", R"({"address":"10.0.0.1:80"})", "/dataCentre" },
        { "backends/b", "[]", "expected an object" },
    };
    for (const auto& each : cases) {
        const auto entry = validatedEntry(each.key, each.json);
        CHECK_EQUAL_TEXT(!*each.expectedError, entry.ok(), each.json);
        if (*each.expectedError)
            CHECK_TRUE_TEXT(
                std::string(entry.status().message()).find(each.expectedError) != std::string::npos, each.json);
    }
}

TEST(Configuration, ChangesSinceARevisionIncludeDeletions)
{
    ConfigurationStore store;
    CHECK_TRUE(store.apply(
        { Revision(), Revision(2), { { "workspaces/a", "{}", Revision(2) }, { "workspaces/b", "{}", Revision(2) } } },
        true));
    CHECK_TRUE(store.apply({ Revision(2), Revision(5), { { "workspaces/a", "", Revision(5) } } }, true));
    CHECK_EQUAL(1U, store.parsed().workspaces.size());
    const ConfigurationChange change = store.since(Revision(3));
    CHECK_EQUAL(1U, change.entries.size());
    CHECK_TEXT("", change.entries[0].value);
    // Changes after revision 1 are not known, so the store returns the complete configuration.
    const ConfigurationChange complete = store.since(Revision(1));
    CHECK_TRUE(complete.base == Revision());
    CHECK_EQUAL(1U, complete.entries.size());
    ConfigurationStore peer;
    CHECK_TRUE(peer.apply(complete, true));
    CHECK_FALSE(peer.apply(complete, true));
}
