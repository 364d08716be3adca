/** INI settings of an entry instance and their checks. */
package org.sedgeroad.settings;
