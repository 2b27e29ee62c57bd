#include "edge/UnknownHeaders.h"

#include "edge/DecisionLog.h"
#include "edge/HeaderNames.h"

#include <absl/strings/ascii.h>

namespace crocusmount::relay {

namespace {

    constexpr std::size_t MaxNames = 32;
    constexpr std::size_t MaxNameLength = 64;
    constexpr const char* OtherNames = "other";

} // namespace

UnknownHeaders::UnknownHeaders(const HeaderNames& names)
    : m_known { "cache-control", "connection", "content-encoding", "content-length", "content-type", "date",
        "keep-alive", "retry-after", "server", "transfer-encoding", "vary" }
{
    for (const std::string& name :
        { names.callId, names.notRun, names.seal, names.serverLimit, names.serverLeaving, names.culprit })
        m_known.insert(absl::AsciiStrToLower(name));
}

void UnknownHeaders::add(std::string_view name)
{
    std::string lower = absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
    if (m_known.count(lower))
        return;
    if (!m_counts.count(lower) && (m_counts.size() >= MaxNames || lower.size() > MaxNameLength))
        lower = OtherNames;
    if (++m_counts[lower] == 1)
        DecisionLog::state("unknown_answer_header", { { "name", lower } });
}

} // namespace crocusmount::relay
