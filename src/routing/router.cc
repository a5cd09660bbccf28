#include "jujubetide/routing/router.h"

namespace jujubetide {

void router::do_on_first_piece(const route_query& /*query*/, const route_choice& /*choice*/) {}

} // namespace jujubetide
