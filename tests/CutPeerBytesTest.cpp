#include "edge/PeerDatagram.h"
#include "shell/PeerCodec.h"
#include "tests/Tests.h"

using namespace crocusmount;

// Copies of the store and configurations arrive over connections that are also closed in order if the sender's process
// ends. A part of a copy must not replace a copy.
TEST_GROUP(CutPeerBytes) {};

TEST(CutPeerBytes, CutStoreCopyIsNotDecodedAsShorterCopy)
{
    StoreMirror::Changes changes { 0,
        { 12, { { { "op/config", "text", 5 }, false }, { { "servers/a", "b", 6 }, false } } } };
    const StoreMirror::Progress progress { 12, std::chrono::milliseconds(3), std::chrono::milliseconds(0) };
    const std::string bytes = encode(PeerDatagram { std::nullopt, progress, changes, {} });
    CHECK_TRUE(decodePeerDatagram(bytes).ok());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE_TEXT(decodePeerDatagram(bytes.substr(0, size)).ok(), std::to_string(size).c_str());
}

TEST(CutPeerBytes, CutConfigurationIsNotDecodedAsShorterConfiguration)
{
    const ConfigurationChange change { Revision(0), Revision(9),
        { { "a", "1", Revision(8) }, { "b", "2", Revision(9) } } };
    const std::string bytes = encode(change);
    CHECK_TRUE(decodeConfigurationChange(bytes).ok());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE_TEXT(decodeConfigurationChange(bytes.substr(0, size)).ok(), std::to_string(size).c_str());
}
