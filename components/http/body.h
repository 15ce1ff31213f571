#ifndef COMPONENTS_HTTP_BODY_H_
#define COMPONENTS_HTTP_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace kingcupstair::http {

class ByteLease;

/// Immutable bytes of a message. Copies share the bytes, so that a long body is
/// in memory once however many parts of a process hold its message.
class Body {
 public:
  Body() = default;
  Body(std::string text)  // NOLINT(google-explicit-constructor)
      : Body(std::move(text), nullptr) {}
  Body(const char* text)  // NOLINT(google-explicit-constructor)
      : Body(std::string(text)) {}
  /// Keeps `lease` until the last copy is gone.
  Body(std::string text, std::shared_ptr<ByteLease> lease) {
    if (!text.empty()) {
      this->shared = std::make_shared<const Shared>(
          Shared{.text = std::move(text), .lease = std::move(lease)});
    }
  }

  const std::string& text() const {
    static const std::string empty_text;
    return this->shared == nullptr ? empty_text : this->shared->text;
  }
  operator std::string_view() const {  // NOLINT(google-explicit-constructor)
    return this->text();
  }
  size_t size() const { return this->text().size(); }
  bool empty() const { return this->shared == nullptr; }

  /// Returns the part of these bytes in the budget of the process, or null.
  std::shared_ptr<ByteLease> lease() const {
    return this->shared == nullptr ? nullptr : this->shared->lease;
  }

  bool operator==(const Body& other) const {
    return this->shared == other.shared || this->text() == other.text();
  }

 private:
  struct Shared {
    std::string text;
    std::shared_ptr<ByteLease> lease;
  };

  std::shared_ptr<const Shared> shared;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_BODY_H_
