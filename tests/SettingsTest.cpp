#include "shell/Settings.h"
#include "tests/Tests.h"

using namespace crocusmount;

namespace {

std::string settingsWith(const std::string& extraMembers)
{
    return R"({"instance":"e1","dataCentre":"dc1","listen":"127.0.0.1:1","peerListen":"127.0.0.1:2","store":["127.0.0.1:3"])"
        + extraMembers + "}";
}

} // namespace

TEST_GROUP(Settings) {};

TEST(Settings, ReadsValuesWithTheirUnits)
{
    const auto settings
        = parseSettings("f", settingsWith(R"(,"requests":{"minStallMs":250},"routing":{"picker":"random"})"));
    CHECK_TRUE(settings.ok());
    CHECK_TRUE(settings->core.minStall == std::chrono::milliseconds(250));
    CHECK_TEXT("random", settings->core.picker);
    CHECK_TEXT("dc1", settings->core.self.dataCentre.value());
}

TEST(Settings, ErrorsNameFileAndPath)
{
    const std::string seed = R"({"instance":"a","dataCentre":"d","callers":"127.0.0.1:1","peers":"127.0.0.1:2"})";
    const struct {
        const char* name;
        std::string text;
        const char* expected; ///< text that the error must contain
    } cases[] = {
        { "not JSON", "{", "f: not JSON" },
        { "missing key", R"({"instance":"e1"})", "dataCentre" },
        { "unknown key", settingsWith(R"(,"extra":1)"), "extra" },
        { "unknown key in a section", settingsWith(R"(,"requests":{"minStall":5})"), "minStall" },
        { "wrong type", settingsWith(R"(,"requests":{"queueLimit":"many"})"), "[requests][queueLimit]: " },
        { "out of range", settingsWith(R"(,"requests":{"queueLimit":0})"), "[requests][queueLimit]: " },
        { "unknown picker", settingsWith(R"(,"routing":{"picker":"best"})"), "[routing][picker]: " },
        { "bad address", settingsWith(R"(,"instanceList":"localhost")"), "[instanceList]: " },
        { "duplicate seed", settingsWith(R"(,"seeds":[)" + seed + "," + seed + "]"),
            "/seeds/1/instance: duplicate id 'a'" },
    };
    for (const auto& each : cases) {
        const auto settings = parseSettings("f", each.text);
        CHECK_FALSE_TEXT(settings.ok(), each.name);
        const std::string message(settings.status().message());
        CHECK_TRUE_TEXT(message.find(each.expected) != std::string::npos, (each.name + (": " + message)).c_str());
    }
}
