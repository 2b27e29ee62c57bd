#include "config/ConfigurationStore.h"

#include "config/ConfigurationJson.h"

namespace crocusmount {

namespace {

    /// A peer that has missed more deletions than this receives the complete configuration.
    constexpr std::size_t MaxKeptDeletions = 1000;

} // namespace

void ConfigurationStore::put(const ConfigurationEntry& entry)
{
    Document& document = m_documents[entry.key];
    if (document.value.empty() && document.modified != Revision())
        m_deletions.erase(document.modified);
    document = { entry.value, entry.modified };
    if (entry.value.empty())
        m_deletions[entry.modified] = entry.key;
    if (!applyEntry(entry, m_parsed).ok())
        ++m_rejectedObjectCount;
}

void ConfigurationStore::trimDeletions()
{
    while (m_deletions.size() > MaxKeptDeletions) {
        m_trimmedUpTo = m_deletions.begin()->first;
        m_documents.erase(m_deletions.begin()->second);
        m_deletions.erase(m_deletions.begin());
    }
}

bool ConfigurationStore::apply(const ConfigurationChange& change, bool onlyNewer)
{
    const bool newer = change.revision > m_parsed.revision;
    const bool contiguous = change.base <= m_parsed.revision;
    if (onlyNewer && (!newer || !contiguous))
        return false;
    if (change.base == Revision()) {
        m_parsed = Configuration();
        m_documents.clear();
        m_deletions.clear();
        m_trimmedUpTo = change.revision;
    }
    for (const ConfigurationEntry& entry : change.entries)
        put(entry);
    m_parsed.revision = change.revision;
    trimDeletions();
    return true;
}

ConfigurationChange ConfigurationStore::since(Revision revision) const
{
    const bool known = revision >= m_trimmedUpTo && revision != Revision();
    ConfigurationChange change { known ? revision : Revision(), m_parsed.revision, {} };
    for (const auto& [key, document] : m_documents) {
        const bool wanted = known ? document.modified > revision : !document.value.empty();
        if (wanted)
            change.entries.push_back({ key, document.value, document.modified });
    }
    return change;
}

} // namespace crocusmount
