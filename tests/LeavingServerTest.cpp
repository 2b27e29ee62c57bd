#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(LeavingServer) {};

namespace {

RegisteredServer first(const char* id) { return RelayHarness::engine(id, 0, 4); }

} // namespace

// A server that leaves stops listening before its streams have ended. That was taken for its end, and answers that it
// still sent were cut; the servers that were left turned them away.
//
//     22.657 s the leaving server refuses a connection; 22.658 s its run is cut; 22.659 s another server sheds it;
//     22.665 s the answer breaks off
TEST(LeavingServer, AnswersAreNotCutAsALeavingServerStopsListening)
{
    const struct {
        const char* name;
        bool leaves;
        bool isCut;
    } cases[] = { { "it leaves", true, false }, { "it has ended without a word", false, true } };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", 20);
        RegisteredServer server = first(start.server.value().c_str());
        server.leaving = each.leaves;
        harness.send(relay::event::ServerRegistered { server });
        harness.send(relay::event::EngineChecked { start.server, false, 1, true });
        bool isCut = harness.last<relay::effect::CancelAttempt>().has_value();
        for (const char* id : { "a", "b", "c", "d" }) {
            if (start.server != BackendId(id))
                harness.send(relay::event::EngineChecked { BackendId(id), true, 1 });
        }
        for (std::uint64_t next = 21; next < 40; ++next) {
            if (!isCut)
                harness.events(start.attempt, next, next, milliseconds(0));
            harness.tick(milliseconds(20));
            isCut = isCut || harness.last<relay::effect::CancelAttempt>();
        }
        CHECK_EQUAL_TEXT(each.isCut, isCut, each.name);
    }
}
