#ifndef COMPONENTS_HTTP_BODY_H_
#define COMPONENTS_HTTP_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace kingcupstair::http {

/// Immutable bytes of a message. Copies share the bytes, so that a long body is
/// in memory once however many parts of a process hold its message.
class Body {
 public:
  Body() = default;
  Body(std::string text)  // NOLINT(google-explicit-constructor)
      : shared(text.empty()
                   ? nullptr
                   : std::make_shared<const std::string>(std::move(text))) {}
  Body(const char* text)  // NOLINT(google-explicit-constructor)
      : Body(std::string(text)) {}

  const std::string& text() const {
    static const std::string empty_text;
    return this->shared == nullptr ? empty_text : *this->shared;
  }
  size_t size() const { return this->text().size(); }

  bool operator==(const Body& other) const {
    return this->shared == other.shared || this->text() == other.text();
  }

 private:
  std::shared_ptr<const std::string> shared;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_BODY_H_
