"""hazelbend: a dispatcher that spreads jobs over real servers on delayed information."""
