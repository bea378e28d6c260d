#include <config/adapter_chunk.h>

#include "unknown_fields.h"

#include <kernel/check.h>
#include <wire/config.pb.h>

#include <google/protobuf/io/coded_stream.h>

#include <algorithm>

namespace camphorgrade::config {
namespace {

using google::protobuf::io::CodedInputStream;

CodedInputStream stream_of(const std::string& bytes, std::size_t from) {
    const auto* begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
    return CodedInputStream(begin + from, static_cast<int>(bytes.size() - from));
}

/** Where the entries are; empty when the bytes are anything but a list of entries. */
std::vector<std::uint32_t> entry_offsets(const std::string& bytes) {
    constexpr std::uint32_t entry_tag = wire::adapter_part::kAdaptersFieldNumber << 3U | 2U;
    std::vector<std::uint32_t> offsets;
    CodedInputStream stream = stream_of(bytes, 0);
    while (stream.CurrentPosition() < static_cast<int>(bytes.size())) {
        std::uint32_t length = 0;
        if (stream.ReadTag() != entry_tag) {
            return {};
        }
        offsets.push_back(static_cast<std::uint32_t>(stream.CurrentPosition()));
        if (!stream.ReadVarint32(&length) || !stream.Skip(static_cast<int>(length))) {
            return {};
        }
    }
    return offsets;
}

wire::adapter_entry read_entry(const std::string& bytes, std::uint32_t offset) {
    CodedInputStream stream = stream_of(bytes, offset);
    std::uint32_t length = 0;
    stream.ReadVarint32(&length);
    wire::adapter_entry entry;
    const auto at = offset + static_cast<std::uint32_t>(stream.CurrentPosition());
    const bool read = entry.ParseFromArray(bytes.data() + at, static_cast<int>(length));
    CAMPHOR_INVARIANT(read);
    return entry;
}

adapter_spec to_spec(const wire::adapter_entry& entry) {
    adapter_spec adapter{entry.name(), entry.model(), {}, {}};
    adapter.versions.assign(entry.versions().begin(), entry.versions().end());
    adapter.default_version = adapter.versions.at(entry.default_version());
    return adapter;
}

bool well_formed(const wire::adapter_part& part) {
    const std::string* last = nullptr;
    for (const wire::adapter_entry& entry : part.adapters()) {
        const bool ordered = last == nullptr || *last < entry.name();
        if (!ordered || has_unknown_fields(entry) || entry.name().empty() ||
            entry.default_version() >= static_cast<std::uint32_t>(entry.versions_size())) {
            return false;
        }
        last = &entry.name();
    }
    return part.adapters_size() > 0 && !has_unknown_fields(part);
}

} // namespace

std::optional<adapter_chunk> adapter_chunk::decode(std::string bytes) {
    wire::adapter_part part;
    if (bytes.size() > max_chunk_bytes || !part.ParseFromString(bytes) || !well_formed(part)) {
        return std::nullopt;
    }
    adapter_chunk chunk;
    chunk.offsets_ = entry_offsets(bytes);
    if (chunk.offsets_.size() != static_cast<std::size_t>(part.adapters_size())) {
        return std::nullopt;
    }
    chunk.bytes_ = std::move(bytes);
    chunk.digest_ = digest_of(chunk.bytes_);
    chunk.first_name_ = part.adapters(0).name();
    for (const wire::adapter_entry& entry : part.adapters()) {
        auto& models = chunk.models_;
        if (std::find(models.begin(), models.end(), entry.model()) == models.end()) {
            models.push_back(entry.model());
        }
    }
    return chunk;
}

adapter_chunk adapter_chunk::encode(const std::vector<adapter_spec>& adapters) {
    wire::adapter_part part;
    for (const adapter_spec& adapter : adapters) {
        const auto& versions = adapter.versions;
        const auto chosen = std::find(versions.begin(), versions.end(), adapter.default_version);
        wire::adapter_entry& entry = *part.add_adapters();
        entry.set_name(adapter.name);
        entry.set_model(adapter.model);
        for (const std::string& version : versions) {
            entry.add_versions(version);
        }
        entry.set_default_version(static_cast<std::uint32_t>(chosen - versions.begin()));
    }
    auto chunk = decode(part.SerializeAsString());
    CAMPHOR_PRECONDITION(chunk.has_value());
    return std::move(*chunk);
}

adapter_spec adapter_chunk::at(std::size_t index) const {
    CAMPHOR_PRECONDITION(index < offsets_.size());
    return to_spec(read_entry(bytes_, offsets_[index]));
}

std::optional<adapter_spec> adapter_chunk::find(std::string_view name) const {
    const auto found = std::lower_bound(offsets_.begin(), offsets_.end(), name,
                                        [&](std::uint32_t offset, std::string_view wanted) {
                                            return read_entry(bytes_, offset).name() < wanted;
                                        });
    if (found == offsets_.end()) {
        return std::nullopt;
    }
    const wire::adapter_entry entry = read_entry(bytes_, *found);
    return entry.name() == name ? std::optional(to_spec(entry)) : std::nullopt;
}

} // namespace camphorgrade::config
