#include "edge/LoadReportCodec.h"

#include "generated/peer_types.h"
#include "shell/ThriftBytes.h"

#include <algorithm>
#include <limits>

namespace crocusmount {

std::string encode(const relay::LoadReport& report)
{
    wire::LoadReport out;
    out.sender = report.sender.value();
    out.dataCentre = report.dataCentre.value();
    out.sequence = static_cast<std::int64_t>(report.sequence);
    out.scope = static_cast<wire::LoadScope::type>(report.scope);
    for (const relay::EngineLoad& load : report.engines) {
        constexpr double Most = std::numeric_limits<std::int32_t>::max();
        out.engines.push_back(static_cast<std::int64_t>(load.engine));
        out.tokenLayers.push_back(static_cast<std::int32_t>(std::clamp(load.tokenLayers, 0.0, Most)));
        out.calls.push_back(static_cast<std::int32_t>(std::clamp(load.calls, 0.0, Most)));
    }
    return toThriftBytes(out);
}

absl::StatusOr<relay::LoadReport> decodeLoadReport(const std::string& bytes)
{
    const auto in = fromThriftBytes<wire::LoadReport>(bytes);
    if (!in.ok())
        return in.status();
    if (in->engines.size() != in->tokenLayers.size() || in->engines.size() != in->calls.size())
        return absl::InvalidArgumentError("lists of different length");
    if (in->scope < wire::LoadScope::INSTANCE || in->scope > wire::LoadScope::FLEET)
        return absl::InvalidArgumentError("unknown scope");
    relay::LoadReport report { InstanceId(in->sender), DataCentreId(in->dataCentre),
        static_cast<std::uint64_t>(in->sequence), static_cast<relay::LoadScope>(in->scope), {} };
    for (std::size_t i = 0; i < in->engines.size(); ++i)
        report.engines.push_back({ static_cast<std::uint64_t>(in->engines[i]),
            std::max(0.0, static_cast<double>(in->tokenLayers[i])), std::max(0.0, static_cast<double>(in->calls[i])) });
    return report;
}

} // namespace crocusmount
