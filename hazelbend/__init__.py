"""hazelbend: a dispatcher that distributes jobs over servers, whose load it knows only with a delay."""
