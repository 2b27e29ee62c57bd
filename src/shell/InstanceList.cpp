#include "shell/InstanceList.h"

#include "shell/Json.h"

namespace crocusmount {

std::vector<MemberUpdate> instancesFromJson(const std::string& text)
{
    std::vector<MemberUpdate> instances;
    for (const boost::json::value& each : listOf(parseObject(text), "instances")) {
        const boost::json::object* entry = each.if_object();
        const auto memberText = [&](const char* key) { return entry ? textOf(*entry, key) : std::string(); };
        MemberUpdate update;
        update.instance = InstanceId(memberText("instance"));
        update.dataCentre = DataCentreId(memberText("dataCentre"));
        update.callerAddress = memberText("callers");
        update.peerAddress = memberText("peers");
        if (!update.instance.value().empty() && !update.callerAddress.empty() && !update.peerAddress.empty())
            instances.push_back(std::move(update));
    }
    return instances;
}

} // namespace crocusmount
