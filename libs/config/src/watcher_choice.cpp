#include <config/watcher_choice.h>

#include <xxhash.h>

#include <utility>

namespace camphorgrade::config {
namespace {

std::pair<std::uint64_t, std::string_view> weight(const node_id& node, std::string_view topic) {
    const std::uint64_t seed = XXH64(topic.data(), topic.size(), 0);
    return {XXH64(node.value().data(), node.value().size(), seed), node.value()};
}

} // namespace

bool is_watcher(const peer& self, std::string_view topic, const std::vector<peer>& peers) {
    const auto own = weight(self.node, topic);
    std::size_t heavier = 0;
    for (const peer& each : peers) {
        const bool rival = each.data_centre == self.data_centre && each.node != self.node;
        if (rival && weight(each.node, topic) > own && ++heavier == watchers_per_data_centre) {
            return false;
        }
    }
    return true;
}

} // namespace camphorgrade::config
