#include <config/adapter_catalogue.h>

#include <kernel/check.h>

#include <xxhash.h>

#include <algorithm>

namespace camphorgrade::config {
namespace {

constexpr std::uint64_t mean_chunk_adapters = 256;
constexpr std::size_t max_chunk_adapters = 4096;
constexpr std::size_t target_chunk_bytes = max_chunk_bytes / 2;

/** Whether a chunk begins at the adapter of this name; depends on nothing else. */
bool begins_chunk(const std::string& name) {
    return XXH64(name.data(), name.size(), 0) % mean_chunk_adapters == 0;
}

/** Upper bound of the bytes that the adapter takes in a chunk. */
std::size_t encoded_bytes(const adapter_spec& adapter) {
    constexpr std::size_t overhead = 16;
    std::size_t bytes = adapter.name.size() + adapter.model.size() + overhead;
    for (const std::string& version : adapter.versions) {
        bytes += version.size() + 3;
    }
    return bytes;
}

bool same_chunks(const adapter_catalogue& a, const adapter_catalogue& b) {
    return std::equal(
        a.chunks().begin(), a.chunks().end(), b.chunks().begin(), b.chunks().end(),
        [](const auto& x, const auto& y) { return x == y || x->digest() == y->digest(); });
}

std::vector<adapter_spec> list(const adapter_catalogue& catalogue) {
    std::vector<adapter_spec> all;
    all.reserve(catalogue.size());
    catalogue.for_each([&](const adapter_spec& each) { all.push_back(each); });
    return all;
}

} // namespace

std::string to_string(const adapter_ref& adapter) {
    return adapter.name + '@' + adapter.version;
}

adapter_catalogue::adapter_catalogue(std::vector<adapter_spec> adapters) {
    std::sort(adapters.begin(), adapters.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    std::vector<adapter_spec> pending;
    std::size_t pending_bytes = 0;
    const auto close = [&] {
        if (!pending.empty()) {
            chunks_.push_back(
                std::make_shared<const adapter_chunk>(adapter_chunk::encode(pending)));
        }
        pending.clear();
        pending_bytes = 0;
    };
    size_ = adapters.size();
    for (adapter_spec& adapter : adapters) {
        const std::size_t bytes = encoded_bytes(adapter);
        if (begins_chunk(adapter.name) || pending.size() == max_chunk_adapters ||
            pending_bytes + bytes > target_chunk_bytes) {
            close();
        }
        pending_bytes += bytes;
        pending.push_back(std::move(adapter));
    }
    close();
}

std::optional<adapter_catalogue> adapter_catalogue::join(std::vector<chunk_pointer> chunks) {
    adapter_catalogue joined;
    std::string last;
    for (const chunk_pointer& chunk : chunks) {
        if (chunk->first_name() <= last) {
            return std::nullopt;
        }
        last = chunk->at(chunk->size() - 1).name;
        joined.size_ += chunk->size();
    }
    joined.chunks_ = std::move(chunks);
    return joined;
}

std::optional<adapter_spec> adapter_catalogue::find(std::string_view name) const {
    const auto after = std::upper_bound(
        chunks_.begin(), chunks_.end(), name,
        [](std::string_view wanted, const auto& chunk) { return wanted < chunk->first_name(); });
    return after == chunks_.begin() ? std::nullopt : (*std::prev(after))->find(name);
}

std::optional<adapter_ref> adapter_catalogue::resolve(std::string_view spelled) const {
    const std::size_t at = spelled.find('@');
    const auto adapter = find(spelled.substr(0, at));
    if (!adapter) {
        return std::nullopt;
    }
    if (at == std::string_view::npos) {
        return adapter_ref{adapter->name, adapter->default_version};
    }
    const auto& versions = adapter->versions;
    const auto version = std::find(versions.begin(), versions.end(), spelled.substr(at + 1));
    if (version == versions.end()) {
        return std::nullopt;
    }
    return adapter_ref{adapter->name, *version};
}

void adapter_catalogue::for_each(const std::function<void(const adapter_spec&)>& visit) const {
    for (const chunk_pointer& chunk : chunks_) {
        for (std::size_t i = 0; i < chunk->size(); ++i) {
            visit(chunk->at(i));
        }
    }
}

bool operator==(const adapter_catalogue& a, const adapter_catalogue& b) {
    return a.size() == b.size() && (same_chunks(a, b) || list(a) == list(b));
}

} // namespace camphorgrade::config
