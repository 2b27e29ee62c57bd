#include "crocusmount/PeerMessage.h"

#include <array>

namespace crocusmount {

const char* toString(MemberState state)
{
    static constexpr std::array<const char*, 4> names { "alive", "suspect", "leaving", "dead" };
    return names.at(static_cast<std::size_t>(state));
}

} // namespace crocusmount
