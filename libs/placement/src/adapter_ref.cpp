#include <placement/adapter_ref.h>

#include <xxhash.h>

namespace camphorgrade::placement {

std::string to_string(const adapter_ref& adapter) {
    return adapter.name + "@" + adapter.version;
}

adapter_ref parse_adapter(const std::string& text) {
    const auto at = text.rfind('@');
    if (at == std::string::npos) {
        return {text, ""};
    }
    return {text.substr(0, at), text.substr(at + 1)};
}

std::uint64_t digest(const adapter_ref& adapter) {
    const std::string text = to_string(adapter);
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvous_weight(std::uint64_t digest, const std::string& node) {
    return XXH3_64bits_withSeed(node.data(), node.size(), digest);
}

} // namespace camphorgrade::placement
